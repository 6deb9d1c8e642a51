#ifndef SCALESHED_CONFIG_TEMPLATES_H_
#define SCALESHED_CONFIG_TEMPLATES_H_

#include <map>
#include <string>

#include "scaleshed/config/errors.h"
#include "scaleshed/core/fleet.h"
#include "scaleshed/core/result.h"

namespace scaleshed {

// A template as text, as the operator wrote it: its file (for error messages)
// and its content.
struct TemplateSource {
  std::string file;
  std::string text;
};

// Templates by document name: "fleet", or "account/" and the account's name.
using TemplateSources = std::map<std::string, TemplateSource>;

inline constexpr std::string_view kFleetDocument = "fleet";
inline constexpr std::string_view kAccountPrefix = "account/";

// Reads fleet.yaml and accounts/*.yaml below `folder`. An account's document
// is named for the account inside the file; two files for one are an error.
Result<TemplateSources, ConfigErrors> ReadTemplates(const std::string& folder);

// Checks all templates together and makes a configuration of them. On any
// fault all faults are returned, and no configuration.
Result<Configuration, ConfigErrors> BuildConfiguration(
    const TemplateSources& sources, std::uint64_t revision);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_TEMPLATES_H_
