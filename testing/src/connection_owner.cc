#include "internal/connection_owner.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace scaleshed::testing {
namespace {

// The inode of the established connection with that local port; empty if there
// is none.
std::string InodeOf(std::uint16_t local_port) {
  constexpr int kHex = 16;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // the column names
  while (std::getline(table, line)) {
    std::istringstream in(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string skipped;
    std::string inode;
    in >> slot >> local >> remote >> state;
    const std::string port = local.substr(local.find(':') + 1);
    constexpr const char* kEstablished = "01";
    if (state != kEstablished || std::stoul(port, nullptr, kHex) != local_port)
      continue;
    // Queues, timer, retransmissions, user id and timeout.
    constexpr int kColumnsBeforeInode = 5;
    for (int i = 0; i < kColumnsBeforeInode; ++i) in >> skipped;
    in >> inode;
    return inode;
  }
  return "";
}

bool HasSocket(pid_t process, const std::string& inode) {
  const std::string link = "socket:[" + inode + "]";
  std::error_code ec;
  const std::filesystem::path folder =
      "/proc/" + std::to_string(process) + "/fd";
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(it.path(), gone) == link) return true;
  }
  return false;
}

}  // namespace

std::optional<pid_t> OwnerOfConnection(std::uint16_t local_port,
                                       const std::vector<pid_t>& processes) {
  const std::string inode = InodeOf(local_port);
  if (inode.empty()) return std::nullopt;
  for (const pid_t it : processes) {
    if (HasSocket(it, inode)) return it;
  }
  return std::nullopt;
}

}  // namespace scaleshed::testing
