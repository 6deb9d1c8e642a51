#ifndef SCALESHED_RUNTIME_HTTP_HEADERS_H_
#define SCALESHED_RUNTIME_HTTP_HEADERS_H_

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace scaleshed {

// The header fields of one HTTP message, in the order and spelling in which
// they came, so that a message can be passed on unchanged. Names are compared
// without regard to case.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;
  using const_iterator = std::vector<Field>::const_iterator;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> fields) : fields_(fields) {}

  // The value of the first field of that name, which is added where missing.
  std::string& operator[](std::string_view name);
  const_iterator find(std::string_view name) const;
  // Throws std::out_of_range where there is none.
  const std::string& at(std::string_view name) const;
  // The first value, or an empty text.
  std::string Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  void Add(std::string name, std::string value);
  void Remove(std::string_view name);

  const_iterator begin() const { return fields_.begin(); }
  const_iterator end() const { return fields_.end(); }
  bool empty() const { return fields_.empty(); }

 private:
  std::vector<Field> fields_;
};

// Whether two header names are the same.
bool SameHeader(std::string_view a, std::string_view b);

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_HTTP_HEADERS_H_
