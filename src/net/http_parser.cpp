#include "net/http_parser.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {

constexpr std::size_t kMaxHeaders = 64;  // lines; ours are about five

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

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
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
    fail(400);
  }
}

void HttpParser::fail(int status) {
  failure_ = status;
  buffer_.clear();
  to(State::failed);
}

void HttpParser::advance() {
  if (state_ == State::head) {
    // Empty lines before a request are allowed.
    while (kind_ == Kind::request && buffer_.starts_with("\r\n")) buffer_.erase(0, 2);
    const std::size_t from = scanned_ > 3 ? scanned_ - 3 : 0;
    const auto end = buffer_.find("\r\n\r\n", from);
    if (end == std::string::npos) {
      scanned_ = buffer_.size();
      if (buffer_.size() > constants::kMaxHeadBytes) fail(431);
      return;
    }
    if (end > constants::kMaxHeadBytes) return fail(431);
    if (!parseHead(std::string_view(buffer_).substr(0, end))) {
      if (state_ != State::failed) fail(400);
      return;
    }
    buffer_.erase(0, end + 4);
    to(State::body);
  }
  if (state_ == State::body) {
    if (closeDelimited_) {
      if (buffer_.size() > maxBody_) fail(413);
      return;
    }
    const std::size_t length = length_.value_or(0);
    if (buffer_.size() < length) return;
    message_.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    to(State::complete);
  }
}

bool HttpParser::parseHead(std::string_view head) {
  std::size_t lines = 0;
  while (true) {
    const auto end = head.find("\r\n");
    const auto line = head.substr(0, end);
    if (lines == 0 ? !parseStartLine(line) : !parseHeader(line)) return false;
    if (++lines > kMaxHeaders) {
      fail(431);
      return false;
    }
    if (end == std::string_view::npos) break;
    head.remove_prefix(end + 2);
  }
  if (kind_ == Kind::answer && !length_ && message_.status != 204 && message_.status != 304)
    closeDelimited_ = true;
  return true;
}

bool HttpParser::parseStartLine(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (kind_ == Kind::answer) {
    const auto version = line.substr(0, first);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    message_.keepAlive = version == "HTTP/1.1";
    const auto status = number<int>(line.substr(first + 1, 3));
    if (!status || *status < 200 || *status > 599) return false;
    message_.status = *status;
    return true;
  }
  const auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return false;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, second - first - 1);
  const auto version = line.substr(second + 1);
  if (method.empty() || !std::all_of(method.begin(), method.end(), isTokenChar)) return false;
  const bool plain = std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 127; });
  if (!target.starts_with('/') || !plain) return false;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    if (version.starts_with("HTTP/")) fail(505);
    return false;
  }
  message_.method = method;
  message_.target = target;
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
  if (equalsIgnoringCase(key, "content-length")) {
    const auto length = number<std::size_t>(value);
    // Two lengths that differ are how requests are smuggled past a proxy.
    if (!length || (length_ && *length_ != *length)) return false;
    if (*length > maxBody_) {
      fail(413);
      return false;
    }
    length_ = *length;
  } else if (equalsIgnoringCase(key, "transfer-encoding")) {
    fail(501);  // chunked bodies are no part of the protocol
    return false;
  } else if (equalsIgnoringCase(key, "connection")) {
    if (equalsIgnoringCase(value, "close")) message_.keepAlive = false;
    if (equalsIgnoringCase(value, "keep-alive")) message_.keepAlive = true;
  } else if (equalsIgnoringCase(key, "retry-after")) {
    message_.retryAfterS = number<int>(value);
  }
  return true;
}

std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string out;
  out.reserve(160 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  if (!body.empty()) out.append("\r\nContent-Type: application/cbor");
  out.append("\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

std::string formatAnswer(int status, std::string_view body, std::optional<int> retryAfterS, bool keepAlive) {
  std::string out;
  out.reserve(160 + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason(status));
  if (!body.empty()) out.append("\r\nContent-Type: application/cbor");
  if (retryAfterS) out.append("\r\nRetry-After: ").append(std::to_string(*retryAfterS));
  if (!keepAlive) out.append("\r\nConnection: close");
  out.append("\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

}  // namespace reachhoist::net
