#include "scaleshed/config/errors.h"

namespace scaleshed {

std::string ToString(const ConfigError& error) {
  std::string text = error.file + ":" + std::to_string(error.line) + ": ";
  if (!error.field.empty()) text += error.field + ": ";
  return text + error.message;
}

std::string ToString(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& it : errors) text += ToString(it) + "\n";
  return text;
}

}  // namespace scaleshed
