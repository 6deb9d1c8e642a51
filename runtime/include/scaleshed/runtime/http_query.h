#ifndef SCALESHED_RUNTIME_HTTP_QUERY_H_
#define SCALESHED_RUNTIME_HTTP_QUERY_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace scaleshed {

// One field of a query: its name and its value, neither of them encoded.
using QueryField = std::pair<std::string_view, std::string>;

// Returns `path` with these fields as its query (RFC 3986, section 3.4). Names
// and values are percent-encoded, so that any bytes may stand in them; the path
// is taken as it is.
std::string TargetWithQuery(std::string_view path,
                            const std::vector<QueryField>& fields);

// Returns the decoded value of the first field of that name in an encoded
// query, with '+' read as a blank; an empty text if there is none.
std::string QueryValue(std::string_view query, std::string_view name);

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_HTTP_QUERY_H_
