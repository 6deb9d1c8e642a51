// Small blocking HTTP/1.1 helpers for the stand-ins of the review's scripts.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline double Now() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}
inline void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::string Lower(std::string text) {
  for (char& it : text) it = static_cast<char>(std::tolower(it));
  return text;
}

inline sockaddr_in AddressOf(const std::string& address) {
  sockaddr_in name{};
  const auto colon = address.rfind(':');
  name.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
  name.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return name;
}

// A connection with a read buffer. Reads end at `deadline` (Now() seconds).
class Link {
 public:
  explicit Link(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Link(const Link&) = delete;
  ~Link() { Close(); }
  static int Connect(const std::string& address, double within,
                     int* error = nullptr) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = AddressOf(address);
    int result =
        connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name));
    int failed = result == 0 ? 0 : errno;
    if (failed == EINPROGRESS) {
      pollfd waits{fd, POLLOUT, 0};
      failed = ETIMEDOUT;
      if (poll(&waits, 1, static_cast<int>(within * 1000)) > 0) {
        socklen_t size = sizeof(failed);
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size);
      }
    }
    if (error != nullptr) *error = failed;
    if (failed != 0) {
      close(fd);
      return -1;
    }
    return fd;
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n > 0) {
        done += static_cast<std::size_t>(n);
        continue;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        pollfd waits{fd_, POLLOUT, 0};
        if (poll(&waits, 1, 10000) <= 0) return false;
        continue;
      }
      return false;
    }
    return true;
  }
  // More bytes into the buffer: 1, at the end of the peer's 0, else -1.
  int Fill(double deadline) {
    for (;;) {
      const double left = deadline - Now();
      if (left <= 0) return -1;
      pollfd waits{fd_, POLLIN, 0};
      const int ready =
          poll(&waits, 1, std::min(1000, static_cast<int>(left * 1000) + 1));
      if (ready < 0 && errno != EINTR) return -1;
      if (ready <= 0) continue;
      char buf[65536];
      const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
      if (n > 0) {
        in_.append(buf, static_cast<std::size_t>(n));
        return 1;
      }
      if (n == 0) return 0;
      if (errno != EAGAIN && errno != EINTR) return -1;
    }
  }
  // Whether the peer has closed or reset, without waiting.
  bool IsGone() {
    char c = 0;
    const ssize_t n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  bool Line(std::string& line, double deadline) {
    for (;;) {
      const auto end = in_.find("\r\n");
      if (end != std::string::npos) {
        line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return true;
      }
      if (Fill(deadline) <= 0) return false;
    }
  }
  bool Bytes(std::string& to, std::size_t n, double deadline) {
    while (in_.size() < n) {
      if (Fill(deadline) <= 0) return false;
    }
    to.append(in_, 0, n);
    in_.erase(0, n);
    return true;
  }
  // A close that the peer sees as a reset.
  void Reset() {
    const linger nothing{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &nothing, sizeof(nothing));
    Close();
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }
  std::string& buffer() { return in_; }

 private:
  int fd_;
  std::string in_;
};

struct Message {
  std::string first[3];  // of the first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (Lower(key) == Lower(name)) return value;
    return "";
  }
};

inline bool ReadHead(Link& link, Message& message, double deadline) {
  std::string line;
  if (!link.Line(line, deadline)) return false;
  const auto a = line.find(' ');
  const auto b = line.find(' ', a + 1);
  if (a == std::string::npos) return false;
  message.first[0] = line.substr(0, a);
  message.first[1] = line.substr(a + 1, b == std::string::npos ? b : b - a - 1);
  if (b != std::string::npos) message.first[2] = line.substr(b + 1);
  for (;;) {
    if (!link.Line(line, deadline)) return false;
    if (line.empty()) return true;
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    auto from = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        from == std::string::npos ? "" : line.substr(from));
  }
}

// Reads a body with a length or in chunks; `on_chunk` sees each chunk.
// Returns false unless it came whole.
inline bool ReadBody(
    Link& link, Message& message, double deadline,
    const std::function<void(const std::string&)>& on_chunk = {}) {
  if (Lower(message.Get("Transfer-Encoding")) == "chunked") {
    for (;;) {
      std::string line;
      if (!link.Line(line, deadline)) return false;
      const std::size_t n = std::stoul(line, nullptr, 16);
      std::string chunk;
      if (n > 0 && !link.Bytes(chunk, n, deadline)) return false;
      if (!link.Line(line, deadline)) return false;
      if (n == 0) return true;
      message.body += chunk;
      if (on_chunk) on_chunk(chunk);
    }
  }
  const std::string length = message.Get("Content-Length");
  if (length.empty()) return true;
  return link.Bytes(message.body, std::stoul(length), deadline);
}

inline std::string Answer(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline std::string QueryOf(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto amp = rest.find('&');
    const std::string part = rest.substr(0, amp);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
  }
  return "";
}

// Listens and serves each connection in a thread of its own. `handle` answers
// one request on the link; false ends the connection.
class Server {
 public:
  using Handler = std::function<bool(Link&, Message&)>;
  Server(const std::string& address, Handler handle)
      : handle_(std::move(handle)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = AddressOf(address);
    ok_ = bind(fd_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) ==
              0 &&
          listen(fd_, 1024) == 0;
  }
  bool ok() const { return ok_; }
  void Run() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      std::thread([this, fd] {
        Link link(fd);
        for (;;) {
          Message request;
          if (!ReadHead(link, request, Now() + 60)) return;
          if (!ReadBody(link, request, Now() + 60)) return;
          if (!handle_(link, request)) return;
        }
      }).detach();
    }
  }
  void Start() {
    std::thread([this] { Run(); }).detach();
  }

 private:
  Handler handle_;
  int fd_;
  bool ok_;
};

// One call on a connection of its own. Status 0: no whole answer.
inline Message Call(const std::string& address, const std::string& method,
                    const std::string& target, const std::string& body,
                    double within, int& status) {
  Message answer;
  status = 0;
  const double deadline = Now() + within;
  const int fd = Link::Connect(address, within);
  if (fd < 0) return answer;
  Link link(fd);
  link.Write(method + " " + target +
             " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
  if (ReadHead(link, answer, deadline) && ReadBody(link, answer, deadline))
    status = std::stoi(answer.first[1]);
  return answer;
}

}  // namespace review
