// docs/PROMISES.md names every scenario, and no other.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace scaleshed::testing {
namespace {

TEST_CASE("The page of the promises names exactly the scenarios there are") {
  std::ostringstream text;
  text << std::ifstream(SCALESHED_PROMISES).rdbuf();
  const std::string page = text.str();
  REQUIRE_FALSE(page.empty());
  std::set<std::string> named;
  const std::regex name("`(p[0-9]_[a-z0-9_]+)`");
  for (std::sregex_iterator it(page.begin(), page.end(), name), end; it != end;
       ++it) {
    named.insert((*it)[1].str());
  }
  std::set<std::string> present;
  for (const auto& it :
       std::filesystem::directory_iterator(SCALESHED_SCENARIOS)) {
    present.insert(it.path().stem().string());
  }
  for (const std::string& it : named) {
    INFO("named on the page: " << it);
    CHECK(present.contains(it));
  }
  for (const std::string& it : present) {
    INFO("in the folder: " << it);
    CHECK(named.contains(it));
  }
}

}  // namespace
}  // namespace scaleshed::testing
