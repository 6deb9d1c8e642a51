#include "scaleshed/wire/completion_reader.h"

#include "internal/json_reader.h"
#include "scaleshed/wire/caller_json.h"

namespace scaleshed {

void CompletionReader::Feed(const std::string& bytes) {
  partial_ += bytes;
  std::size_t start = 0;
  std::size_t end = 0;
  while ((end = partial_.find('\n', start)) != std::string::npos) {
    OnLine(partial_.substr(start, end - start));
    start = end + 1;
  }
  partial_.erase(0, start);
}

void CompletionReader::OnLine(const std::string& line) {
  constexpr std::string_view kData = "data: ";
  if (!line.starts_with(kData)) return;
  const std::string data = line.substr(kData.size());
  const auto json = internal::Json::parse(data, nullptr, false);
  if (!json.is_object()) return;
  if (json.contains("choices")) {
    const std::string token = json["choices"][0].value("text", "");
    ++tokens_;
    text_ += token;
    checksum_ = ChainChecksum(checksum_, token);
    return;
  }
  auto final = ParseFinal(data);
  if (auto* it = ValueOf(final)) final_ = std::move(*it);
}

bool CompletionReader::IsWhole() const {
  return final_ && final_->outcome == Outcome::kDone &&
         final_->tokens == tokens_ && final_->checksum == checksum_;
}

}  // namespace scaleshed
