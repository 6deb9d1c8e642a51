#include "internal/fake_process.h"

#include <csignal>
#include <iostream>

#include "scaleshed/runtime/address.h"

namespace scaleshed::testing {
namespace {

constexpr std::int64_t kMostBodyBytes = 64 * 1024 * 1024;

}  // namespace

void ServeUntilTerminated(EventLoop& loop, const std::string& listen,
                          const std::string& name,
                          HttpServer::Handler handler) {
  std::signal(SIGPIPE, SIG_IGN);
  const HttpServer server(loop,
                          {.address = listen, .max_body_bytes = kMostBodyBytes},
                          std::move(handler));
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  std::cout << name << " listening " << ParseAddress(listen).host << ":"
            << server.port() << std::endl;
  loop.Run();
}

nlohmann::json ReadControl(HttpExchange& exchange) {
  auto json = nlohmann::json::parse(exchange.TakeBody(), nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

std::uint64_t NewIncarnationNumber() {
  return static_cast<std::uint64_t>(UnixMicros());
}

}  // namespace scaleshed::testing
