#include "net/http_parser.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/constants.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::net {

namespace {

constexpr std::size_t kMaxHeaderLines = 64;  // our own messages have about five
constexpr std::size_t kHeadReserve = 160;    // bytes; enough for the head of a message of ours
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool isTokenChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

template <class Number>
std::optional<Number> number(std::string_view text) {
  Number out{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

struct StatusReason {
  int status;
  std::string_view reason;
};

constexpr StatusReason kStatusReasons[] = {{http::kOk, "OK"},
                                           {http::kCreated, "Created"},
                                           {http::kBadRequest, "Bad Request"},
                                           {http::kNotFound, "Not Found"},
                                           {http::kMethodNotAllowed, "Method Not Allowed"},
                                           {http::kContentTooLarge, "Content Too Large"},
                                           {http::kMisdirectedRequest, "Misdirected Request"},
                                           {http::kUnprocessableContent, "Unprocessable Content"},
                                           {http::kTooManyRequests, "Too Many Requests"},
                                           {http::kHeaderFieldsTooLarge, "Request Header Fields Too Large"},
                                           {http::kNotImplemented, "Not Implemented"},
                                           {http::kServiceUnavailable, "Service Unavailable"},
                                           {http::kVersionNotSupported, "HTTP Version Not Supported"}};

std::string_view reasonOf(int status) {
  for (const StatusReason& row : kStatusReasons)
    if (row.status == status) return row.reason;
  return "Status";
}

// Content headers, the end of the head, and the body.
void appendContent(std::string& out, std::string_view extraHeaders, std::string_view body) {
  if (!body.empty()) out.append("\r\nContent-Type: application/cbor");
  out.append(extraHeaders);
  out.append("\r\nContent-Length: ").append(std::to_string(body.size())).append(kHeadEnd).append(body);
}

}  // namespace

void HttpParser::feed(std::string_view bytes) {
  if (state_ == State::failed) return;
  buffer_.append(bytes);
  advance();
}

void HttpParser::next() {
  message_ = HttpMessage{};
  length_.reset();
  closeDelimited_ = false;
  scanned_ = 0;
  to(State::head);
  advance();
}

void HttpParser::finish() {
  if (state_ == State::body && closeDelimited_) {
    message_.body = std::exchange(buffer_, {});
    message_.keepAlive = false;
    to(State::complete);
  } else if (state_ != State::complete) {
    fail(http::kBadRequest);
  }
}

void HttpParser::fail(int status) {
  failure_ = status;
  buffer_.clear();
  to(State::failed);
}

void HttpParser::advance() {
  if (state_ == State::head) takeHead();
  if (state_ == State::body) takeBody();
}

void HttpParser::takeHead() {
  // Empty lines before a request are allowed.
  while (kind_ == Kind::request && buffer_.starts_with(kLineEnd)) buffer_.erase(0, kLineEnd.size());
  const std::size_t overlap = kHeadEnd.size() - 1;
  const std::size_t from = scanned_ > overlap ? scanned_ - overlap : 0;
  const auto end = buffer_.find(kHeadEnd, from);
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    if (buffer_.size() > constants::kMaxRequestHeadBytes) fail(http::kHeaderFieldsTooLarge);
    return;
  }
  if (end > constants::kMaxRequestHeadBytes) return fail(http::kHeaderFieldsTooLarge);
  if (!parseHead(std::string_view(buffer_).substr(0, end))) {
    if (state_ != State::failed) fail(http::kBadRequest);
    return;
  }
  buffer_.erase(0, end + kHeadEnd.size());
  to(State::body);
}

void HttpParser::takeBody() {
  if (closeDelimited_) {
    if (buffer_.size() > maxBody_) fail(http::kContentTooLarge);
    return;
  }
  const std::size_t length = length_.value_or(0);
  if (buffer_.size() < length) return;
  message_.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  to(State::complete);
}

bool HttpParser::parseHead(std::string_view head) {
  std::size_t lines = 0;
  while (true) {
    const auto end = head.find(kLineEnd);
    const auto line = head.substr(0, end);
    if (lines == 0 ? !parseStartLine(line) : !parseHeader(line)) return false;
    if (++lines > kMaxHeaderLines) {
      fail(http::kHeaderFieldsTooLarge);
      return false;
    }
    if (end == std::string_view::npos) break;
    head.remove_prefix(end + kLineEnd.size());
  }
  if (kind_ == Kind::response && !length_ && message_.status != http::kNoContent &&
      message_.status != http::kNotModified)
    closeDelimited_ = true;
  return true;
}

bool HttpParser::parseStartLine(std::string_view line) {
  return kind_ == Kind::request ? parseRequestLine(line) : parseStatusLine(line);
}

bool HttpParser::parseStatusLine(std::string_view line) {
  const auto space = line.find(' ');
  if (space == std::string_view::npos || !parseVersion(line.substr(0, space))) return false;
  const auto status = number<int>(line.substr(space + 1, 3));
  if (!status || *status < 200 || *status > 599) return false;
  message_.status = *status;
  return true;
}

bool HttpParser::parseRequestLine(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  const auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return false;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, second - first - 1);
  const auto version = line.substr(second + 1);
  if (method.empty() || !std::all_of(method.begin(), method.end(), isTokenChar)) return false;
  const bool printable = std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 127; });
  if (!target.starts_with('/') || !printable) return false;
  if (!parseVersion(version)) {
    if (version.starts_with("HTTP/")) fail(http::kVersionNotSupported);
    return false;
  }
  message_.method = method;
  message_.target = target;
  return true;
}

bool HttpParser::parseVersion(std::string_view version) {
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_.keepAlive = version == "HTTP/1.1";
  return true;
}

bool HttpParser::parseHeader(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const auto key = line.substr(0, colon);
  if (!std::all_of(key.begin(), key.end(), isTokenChar)) return false;
  const auto value = trim(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; }))
    return false;
  if (equalsIgnoringCase(key, "content-length")) return takeContentLength(value);
  if (equalsIgnoringCase(key, "transfer-encoding")) {
    fail(http::kNotImplemented);  // chunked bodies are no part of the protocol
    return false;
  }
  if (equalsIgnoringCase(key, "connection")) {
    if (equalsIgnoringCase(value, "close")) message_.keepAlive = false;
    if (equalsIgnoringCase(value, "keep-alive")) message_.keepAlive = true;
  } else if (equalsIgnoringCase(key, "retry-after")) {
    message_.retryAfterS = number<int>(value);
  }
  return true;
}

bool HttpParser::takeContentLength(std::string_view value) {
  const auto length = number<std::size_t>(value);
  // Two lengths that differ are how requests are smuggled past a proxy.
  if (!length || (length_ && *length_ != *length)) return false;
  if (*length > maxBody_) {
    fail(http::kContentTooLarge);
    return false;
  }
  length_ = *length;
  return true;
}

std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string out;
  out.reserve(kHeadReserve + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  appendContent(out, {}, body);
  return out;
}

std::string formatResponse(int status, std::string_view body, std::optional<int> retryAfterS,
                           bool keepAlive) {
  std::string out;
  out.reserve(kHeadReserve + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reasonOf(status));
  std::string headers;
  if (retryAfterS) headers.append("\r\nRetry-After: ").append(std::to_string(*retryAfterS));
  if (!keepAlive) headers.append("\r\nConnection: close");
  appendContent(out, headers, body);
  return out;
}

}  // namespace reachhoist::net
