// An incremental HTTP/1.1 parser for requests and answers. Bytes go in, whole messages come out.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reachhoist::net {

struct HttpMessage {
  std::string method;  // requests
  std::string target;  // requests
  int status = 0;      // answers
  bool keepAlive = true;
  std::optional<int> retryAfterS;
  std::string body;
};

class HttpParser {
 public:
  enum class Kind { request, answer };
  enum class State { head, body, complete, failed };

  HttpParser(Kind kind, std::size_t maxBody) : kind_(kind), maxBody_(maxBody) {}

  // Takes what it can use; whatever follows a complete message stays for the next one.
  void feed(std::string_view bytes);
  // True once a message is complete; `next` makes room for the one after it.
  State state() const { return state_; }
  const HttpMessage& message() const { return message_; }
  HttpMessage& message() { return message_; }
  void next();
  // Status to answer a failed request with: 400, 413, 431, 501 or 505.
  int failureStatus() const { return failure_; }
  // The peer has closed: an answer without a length ends here.
  void finish();
  bool idle() const { return state_ == State::head && buffer_.empty(); }

 private:
  void to(State next) { state_ = next; }
  void advance();
  void fail(int status);
  bool parseHead(std::string_view head);
  bool parseStartLine(std::string_view line);
  bool parseHeader(std::string_view line);

  Kind kind_;
  std::size_t maxBody_;
  State state_ = State::head;
  std::string buffer_;
  std::size_t scanned_ = 0;  // part of the buffer known to hold no end of head
  std::optional<std::size_t> length_;
  bool closeDelimited_ = false;
  int failure_ = 0;
  HttpMessage message_;
};

std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body);
std::string formatAnswer(int status, std::string_view body, std::optional<int> retryAfterS, bool keepAlive);

}  // namespace reachhoist::net
