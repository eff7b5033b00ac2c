// Parsing of HTTP requests and responses: input in pieces, malformed messages and size limits.
#include "net/http_parser.hpp"

#include <gtest/gtest.h>

#include "config/constants.hpp"

namespace {

using reachhoist::net::HttpParser;
using State = HttpParser::State;

HttpParser requestParser() { return HttpParser(HttpParser::Kind::request, 64 * 1024); }

TEST(HttpParser, ParsesARequestInChunksOfAnySize) {
  const std::string message = "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
  for (std::size_t chunkBytes = 1; chunkBytes <= message.size(); ++chunkBytes) {
    HttpParser parser = requestParser();
    for (std::size_t offset = 0; offset < message.size(); offset += chunkBytes)
      parser.feed(message.substr(offset, chunkBytes));
    ASSERT_EQ(parser.state(), State::complete) << chunkBytes;
    EXPECT_EQ(parser.message().method, "POST");
    EXPECT_EQ(parser.message().target, "/api/jobs");
    EXPECT_EQ(parser.message().body, "hello");
  }
}

TEST(HttpParser, KeepsTrailingBytesForTheNextMessage) {
  HttpParser parser = requestParser();
  parser.feed("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().target, "/a");
  EXPECT_TRUE(parser.message().keepAlive);
  parser.next();
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().target, "/b");
  EXPECT_FALSE(parser.message().keepAlive);
}

TEST(HttpParser, RefusesMalformedRequests) {
  const std::vector<std::pair<std::string, int>> malformedRequests = {
      {"GET\r\n\r\n", 400},
      {"GET /a\r\n\r\n", 400},
      {"GET a HTTP/1.1\r\n\r\n", 400},
      {"G ET /a HTTP/1.1\r\n\r\n", 400},
      {"GET /a HTTP/2.0\r\n\r\n", 505},
      {"GET /a HTTP/1.1\r\nno colon\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\n: empty\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nbad name: x\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
  };
  for (const auto& [message, status] : malformedRequests) {
    HttpParser parser = requestParser();
    parser.feed(message);
    EXPECT_EQ(parser.state(), State::failed) << message;
    EXPECT_EQ(parser.failureStatus(), status) << message;
  }
}

TEST(HttpParser, RefusesOversizedHeaders) {
  HttpParser longHeader = requestParser();
  longHeader.feed("GET /a HTTP/1.1\r\nX: ");
  for (int i = 0; i < 100 && longHeader.state() == State::head; ++i) longHeader.feed(std::string(1000, 'x'));
  EXPECT_EQ(longHeader.failureStatus(), 431);
  HttpParser manyHeaders = requestParser();
  manyHeaders.feed("GET /a HTTP/1.1\r\n");
  std::string headerLines;
  for (int i = 0; i < 200; ++i) headerLines += "X: 1\r\n";
  manyHeaders.feed(headerLines + "\r\n");
  EXPECT_EQ(manyHeaders.failureStatus(), 431);
}

TEST(HttpParser, ParsesResponsesAndTheirEnds) {
  HttpParser parser(HttpParser::Kind::response, 1000);
  parser.feed("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().status, 503);
  EXPECT_EQ(parser.message().retryAfterS, 7);
  HttpParser untilClose(HttpParser::Kind::response, 1000);
  untilClose.feed("HTTP/1.0 200 OK\r\n\r\nuntil the end");
  EXPECT_EQ(untilClose.state(), State::body);
  untilClose.finish();
  ASSERT_EQ(untilClose.state(), State::complete);
  EXPECT_EQ(untilClose.message().body, "until the end");
  HttpParser truncated(HttpParser::Kind::response, 1000);
  truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  truncated.finish();
  EXPECT_EQ(truncated.state(), State::failed);
  HttpParser oversized(HttpParser::Kind::response, 1000);
  oversized.feed("HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'));
  EXPECT_EQ(oversized.state(), State::failed);
}

TEST(HttpParser, ParsesFormattedMessages) {
  HttpParser request = requestParser();
  request.feed(reachhoist::net::formatRequest("POST", "/multi", "10.0.0.1:1", "body"));
  ASSERT_EQ(request.state(), State::complete);
  EXPECT_EQ(request.message().body, "body");
  HttpParser response(HttpParser::Kind::response, 1000);
  response.feed(reachhoist::net::formatResponse(429, "x", 3, false));
  ASSERT_EQ(response.state(), State::complete);
  EXPECT_EQ(response.message().retryAfterS, 3);
  EXPECT_FALSE(response.message().keepAlive);
}

}  // namespace
