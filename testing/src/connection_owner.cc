#include "internal/connection_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <string>

namespace scaleshed::testing {
namespace {

struct DiagRequest {
  nlmsghdr header;
  inet_diag_req_v2 body;
};

// The kernel's table of all sockets takes long to read, so only the one is
// asked for.
DiagRequest RequestFor(const sockaddr_in& local, const sockaddr_in& remote) {
  DiagRequest request{};
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = ~0U;
  request.body.id.idiag_sport = local.sin_port;
  request.body.id.idiag_dport = remote.sin_port;
  request.body.id.idiag_src[0] = local.sin_addr.s_addr;
  request.body.id.idiag_dst[0] = remote.sin_addr.s_addr;
  request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

// The inode of a TCP socket; zero if there is none.
std::uint32_t InodeOf(const sockaddr_in& local, const sockaddr_in& remote) {
  const int fd =
      socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (fd < 0) return 0;
  const DiagRequest request = RequestFor(local, remote);
  constexpr std::size_t kResponseBytes = 4096;
  alignas(nlmsghdr) std::array<char, kResponseBytes> buf{};
  ssize_t n = send(fd, &request, sizeof(request), 0);
  if (n > 0) n = recv(fd, buf.data(), buf.size(), 0);
  close(fd);
  const auto* header = reinterpret_cast<const nlmsghdr*>(buf.data());
  const bool found =
      n >= static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))) &&
      header->nlmsg_type == SOCK_DIAG_BY_FAMILY;
  if (!found) return 0;
  return static_cast<const inet_diag_msg*>(NLMSG_DATA(header))->idiag_inode;
}

bool HasSocket(pid_t process, std::uint32_t inode) {
  const std::string link = "socket:[" + std::to_string(inode) + "]";
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

std::optional<pid_t> OwnerOfConnection(const sockaddr_in& local,
                                       const sockaddr_in& remote,
                                       const std::vector<pid_t>& processes) {
  const std::uint32_t inode = InodeOf(local, remote);
  if (inode == 0) return std::nullopt;
  for (const pid_t it : processes) {
    if (HasSocket(it, inode)) return it;
  }
  return std::nullopt;
}

}  // namespace scaleshed::testing
