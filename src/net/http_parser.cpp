#include "net/http_parser.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/constants.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::net {

namespace {

constexpr std::size_t kMaxHeadLines = 64;        // The protocol's own messages have about 5.
constexpr std::size_t kReservedHeadBytes = 160;  // enough for the head of a formatted message
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
std::optional<Number> parseNumber(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

struct ReasonPhrase {
  int status;
  std::string_view phrase;
};

constexpr ReasonPhrase kReasonPhrases[] = {{http::kOk, "OK"},
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

std::string_view reasonPhrase(int status) {
  for (const ReasonPhrase& row : kReasonPhrases)
    if (row.status == status) return row.phrase;
  return "Status";
}

// Appends the content headers, the end of the head and the body.
void appendContent(std::string& message, std::string_view extraHeaders, std::string_view body) {
  if (!body.empty()) message.append("\r\nContent-Type: application/cbor");
  message.append(extraHeaders);
  message.append("\r\nContent-Length: ").append(std::to_string(body.size())).append(kHeadEnd).append(body);
}

}  // namespace

void HttpParser::feed(std::string_view bytes) {
  if (state_ == State::failed) return;
  buffer_.append(bytes);
  advance();
}

void HttpParser::next() {
  message_ = HttpMessage{};
  contentLength_.reset();
  closeDelimited_ = false;
  scannedBytes_ = 0;
  setState(State::head);
  advance();
}

void HttpParser::finish() {
  if (state_ == State::body && closeDelimited_) {
    message_.body = std::exchange(buffer_, {});
    message_.keepAlive = false;
    setState(State::complete);
  } else if (state_ != State::complete) {
    fail(http::kBadRequest);
  }
}

void HttpParser::fail(int status) {
  failureStatus_ = status;
  buffer_.clear();
  setState(State::failed);
}

void HttpParser::advance() {
  if (state_ == State::head) readHead();
  if (state_ == State::body) readBody();
}

void HttpParser::readHead() {
  // Empty lines before a request are allowed (RFC 9112, section 2.2).
  while (kind_ == Kind::request && buffer_.starts_with(kLineEnd)) buffer_.erase(0, kLineEnd.size());
  const std::size_t overlapBytes = kHeadEnd.size() - 1;
  const std::size_t searchFrom = scannedBytes_ > overlapBytes ? scannedBytes_ - overlapBytes : 0;
  const auto end = buffer_.find(kHeadEnd, searchFrom);
  if (end == std::string::npos) {
    scannedBytes_ = buffer_.size();
    if (buffer_.size() > constants::kMaxRequestHeadBytes) fail(http::kHeaderFieldsTooLarge);
    return;
  }
  if (end > constants::kMaxRequestHeadBytes) return fail(http::kHeaderFieldsTooLarge);
  if (!parseHead(std::string_view(buffer_).substr(0, end))) {
    if (state_ != State::failed) fail(http::kBadRequest);
    return;
  }
  buffer_.erase(0, end + kHeadEnd.size());
  setState(State::body);
}

void HttpParser::readBody() {
  if (closeDelimited_) {
    if (buffer_.size() > maxBodyBytes_) fail(http::kContentTooLarge);
    return;
  }
  const std::size_t length = contentLength_.value_or(0);
  if (buffer_.size() < length) return;
  message_.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  setState(State::complete);
}

bool HttpParser::parseHead(std::string_view head) {
  std::size_t lineCount = 0;
  while (true) {
    const auto end = head.find(kLineEnd);
    const auto line = head.substr(0, end);
    if (lineCount == 0 ? !parseStartLine(line) : !parseHeader(line)) return false;
    if (++lineCount > kMaxHeadLines) {
      fail(http::kHeaderFieldsTooLarge);
      return false;
    }
    if (end == std::string_view::npos) break;
    head.remove_prefix(end + kLineEnd.size());
  }
  if (kind_ == Kind::response && !contentLength_ && message_.status != http::kNoContent &&
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
  const auto status = parseNumber<int>(line.substr(space + 1, 3));
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
  if (equalsIgnoringCase(key, "content-length")) return parseContentLength(value);
  if (equalsIgnoringCase(key, "transfer-encoding")) {
    fail(http::kNotImplemented);  // The protocol does not use chunked bodies.
    return false;
  }
  if (equalsIgnoringCase(key, "connection")) {
    if (equalsIgnoringCase(value, "close")) message_.keepAlive = false;
    if (equalsIgnoringCase(value, "keep-alive")) message_.keepAlive = true;
  } else if (equalsIgnoringCase(key, "retry-after")) {
    message_.retryAfterS = parseNumber<int>(value);
  }
  return true;
}

bool HttpParser::parseContentLength(std::string_view value) {
  const auto length = parseNumber<std::size_t>(value);
  // Two different lengths are rejected, because they permit request smuggling through a proxy.
  if (!length || (contentLength_ && *contentLength_ != *length)) return false;
  if (*length > maxBodyBytes_) {
    fail(http::kContentTooLarge);
    return false;
  }
  contentLength_ = *length;
  return true;
}

std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string request;
  request.reserve(kReservedHeadBytes + target.size() + body.size());
  request.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  appendContent(request, {}, body);
  return request;
}

std::string formatResponse(int status, std::string_view body, std::optional<int> retryAfterS,
                           bool keepAlive) {
  std::string response;
  response.reserve(kReservedHeadBytes + body.size());
  response.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reasonPhrase(status));
  std::string headers;
  if (retryAfterS) headers.append("\r\nRetry-After: ").append(std::to_string(*retryAfterS));
  if (!keepAlive) headers.append("\r\nConnection: close");
  appendContent(response, headers, body);
  return response;
}

}  // namespace reachhoist::net
