#ifndef SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_
#define SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace scaleshed::internal {

// A message body in a string, for Boost.Beast's parsers. Unlike its string_body
// it reserves nothing for the length that a head names, which may be any
// number: the string grows with the bytes that come.
struct UnreservedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  // NOLINTNEXTLINE(readability-identifier-naming): the parsers look for it.
  class reader {
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::beast::error_code& ec) {
      ec = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
      ec = {};
      const std::size_t size_before = body_.size();
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer piece = *it;
        body_.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return body_.size() - size_before;
    }

    void finish(boost::beast::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace scaleshed::internal

#endif  // SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_
