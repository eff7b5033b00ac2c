// An incremental HTTP/1.1 parser for requests and responses: bytes go in, whole messages come out.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reachhoist::net {

// A request or a response.
struct HttpMessage {
  std::string method;  // requests
  std::string target;  // requests
  int status = 0;      // responses
  bool keepAlive = true;
  std::optional<int> retryAfterS;
  std::string body;
};

// Parses one message after another from one connection.
class HttpParser {
 public:
  enum class Kind { request, response };
  // head, body: more bytes are needed. complete: message() is whole. failed: the input is no valid message,
  // and the connection is of no more use.
  enum class State { head, body, complete, failed };

  // maxBody: the longest body accepted, in bytes.
  HttpParser(Kind kind, std::size_t maxBody) : kind_(kind), maxBody_(maxBody) {}

  // Parses the bytes; those that follow a complete message are kept for the next one.
  void feed(std::string_view bytes);
  State state() const { return state_; }
  const HttpMessage& message() const { return message_; }
  HttpMessage& message() { return message_; }
  // Discards the complete message and parses the one after it.
  void next();
  // HTTP status of the failure: 400, 413, 431, 501 or 505.
  int failureStatus() const { return failure_; }
  // The peer has closed the connection: a response without a length ends here, any other message fails.
  void finish();
  // Whether nothing of the next message has arrived.
  bool idle() const { return state_ == State::head && buffer_.empty(); }

 private:
  void to(State next) { state_ = next; }
  void advance();
  void takeHead();
  void takeBody();
  void fail(int status);
  // The functions below return whether their input is valid; those that know a status better than 400 call
  // fail() themselves.
  bool parseHead(std::string_view head);
  bool parseStartLine(std::string_view line);
  bool parseRequestLine(std::string_view line);
  bool parseStatusLine(std::string_view line);
  bool parseVersion(std::string_view version);
  bool parseHeader(std::string_view line);
  bool takeContentLength(std::string_view value);

  Kind kind_;
  std::size_t maxBody_;
  State state_ = State::head;
  std::string buffer_;
  std::size_t scanned_ = 0;            // bytes of the buffer known not to hold the end of the head
  std::optional<std::size_t> length_;  // of the body
  bool closeDelimited_ = false;        // the body ends where the connection does
  int failure_ = 0;
  HttpMessage message_;
};

// A whole request. A body is sent as CBOR.
std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body);
// A whole response. keepAlive: whether the connection stays open for further requests.
std::string formatResponse(int status, std::string_view body, std::optional<int> retryAfterS, bool keepAlive);

}  // namespace reachhoist::net
