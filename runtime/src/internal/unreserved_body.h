#ifndef SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_
#define SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace scaleshed::internal {

// A message body in a string, for Boost.Beast's parsers. Unlike its string_body
// it doesn't reserve the length that a head names, which may be any number: the
// string grows with the bytes that come. With a length it grows to just that.
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

    void init(const boost::optional<std::uint64_t>& length,
              boost::beast::error_code& ec) {
      ec = {};
      length_ = length.value_or(0);
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
      ec = {};
      const std::size_t size_before = body_.size();
      Grow(size_before + boost::asio::buffer_size(buffers));
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer piece = *it;
        body_.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return body_.size() - size_before;
    }

    void finish(boost::beast::error_code& ec) { ec = {}; }

   private:
    // A string at least doubles its capacity as it grows, so that steps which
    // end at the length are halves of it.
    void Grow(std::size_t size) {
      if (length_ < size || size <= body_.capacity()) return;
      std::uint64_t capacity = length_;
      while (capacity / 2 >= size) capacity -= capacity / 2;
      body_.reserve(static_cast<std::size_t>(capacity));
    }

    value_type& body_;
    std::uint64_t length_ = 0;  // zero: none is named
  };
};

}  // namespace scaleshed::internal

#endif  // SCALESHED_RUNTIME_INTERNAL_UNRESERVED_BODY_H_
