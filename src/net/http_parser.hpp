// An incremental HTTP/1.1 parser for requests and responses.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reachhoist::net {

// A request or a response.
struct HttpMessage {
  std::string method;  // only for a request
  std::string target;  // only for a request
  int status = 0;      // only for a response
  bool keepAlive = true;
  std::optional<int> retryAfterS;
  std::string body;
};

// Parses the messages of one connection, one after another.
class HttpParser {
 public:
  enum class Kind { request, response };
  // In `head` and `body` the parser needs more bytes. In `complete` message() returns a complete message. In
  // `failed` the input was invalid, and nothing more can be read from the connection.
  enum class State { head, body, complete, failed };

  HttpParser(Kind kind, std::size_t maxBodyBytes) : kind_(kind), maxBodyBytes_(maxBodyBytes) {}

  // Parses the bytes. Bytes that follow a complete message are buffered for the next one.
  void feed(std::string_view bytes);
  State state() const { return state_; }
  const HttpMessage& message() const { return message_; }
  HttpMessage& message() { return message_; }
  // Discards the complete message and parses the next one from the buffered bytes.
  void next();
  // Returns the HTTP status of the failure: 400, 413, 431, 501 or 505.
  int failureStatus() const { return failureStatus_; }
  // Must be called when the peer closes the connection. It completes a response without a length, and any
  // other incomplete message fails.
  void finish();
  // Returns whether no byte of the next message has been received.
  bool isIdle() const { return state_ == State::head && buffer_.empty(); }

 private:
  void setState(State next) { state_ = next; }
  void advance();
  void readHead();
  void readBody();
  void fail(int status);
  // These functions return whether their input is valid. They call fail() for a failure whose status is not
  // 400.
  bool parseHead(std::string_view head);
  bool parseStartLine(std::string_view line);
  bool parseRequestLine(std::string_view line);
  bool parseStatusLine(std::string_view line);
  bool parseVersion(std::string_view version);
  bool parseHeader(std::string_view line);
  bool parseContentLength(std::string_view value);

  Kind kind_;
  std::size_t maxBodyBytes_;
  State state_ = State::head;
  std::string buffer_;
  std::size_t scannedBytes_ = 0;              // This part of the buffer does not contain the end of the head.
  std::optional<std::size_t> contentLength_;  // in bytes
  bool closeDelimited_ = false;               // The body extends to the end of the connection.
  int failureStatus_ = 0;
  HttpMessage message_;
};

// Formats a request. Its body, if it has one, must be CBOR.
std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body);
// Formats a response. With `keepAlive` the connection stays open for further requests.
std::string formatResponse(int status, std::string_view body, std::optional<int> retryAfterS, bool keepAlive);

}  // namespace reachhoist::net
