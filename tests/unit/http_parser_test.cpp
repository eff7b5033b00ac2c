#include "net/http_parser.hpp"

#include <gtest/gtest.h>

#include "config/constants.hpp"

namespace {

using reachhoist::net::HttpParser;
using State = HttpParser::State;

HttpParser request() { return HttpParser(HttpParser::Kind::request, 64 * 1024); }

TEST(HttpParser, ParsesARequestInChunksOfAnySize) {
  const std::string text = "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    HttpParser parser = request();
    for (std::size_t at = 0; at < text.size(); at += piece) parser.feed(text.substr(at, piece));
    ASSERT_EQ(parser.state(), State::complete) << piece;
    EXPECT_EQ(parser.message().method, "POST");
    EXPECT_EQ(parser.message().target, "/api/jobs");
    EXPECT_EQ(parser.message().body, "hello");
  }
}

TEST(HttpParser, KeepsTrailingBytesForTheNextMessage) {
  HttpParser parser = request();
  parser.feed("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().target, "/a");
  EXPECT_TRUE(parser.message().keepAlive);
  parser.next();
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().target, "/b");
  EXPECT_FALSE(parser.message().keepAlive);
}

TEST(HttpParser, RefusesMalformedInput) {
  const std::vector<std::pair<std::string, int>> wrong = {
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
  for (const auto& [text, status] : wrong) {
    HttpParser parser = request();
    parser.feed(text);
    EXPECT_EQ(parser.state(), State::failed) << text;
    EXPECT_EQ(parser.failureStatus(), status) << text;
  }
}

TEST(HttpParser, RefusesUnboundedHeaders) {
  HttpParser one = request();
  one.feed("GET /a HTTP/1.1\r\nX: ");
  for (int i = 0; i < 100 && one.state() == State::head; ++i) one.feed(std::string(1000, 'x'));
  EXPECT_EQ(one.failureStatus(), 431);
  HttpParser many = request();
  many.feed("GET /a HTTP/1.1\r\n");
  std::string lines;
  for (int i = 0; i < 200; ++i) lines += "X: 1\r\n";
  many.feed(lines + "\r\n");
  EXPECT_EQ(many.failureStatus(), 431);
}

TEST(HttpParser, Answers) {
  HttpParser parser(HttpParser::Kind::response, 1000);
  parser.feed("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().status, 503);
  EXPECT_EQ(parser.message().retryAfterS, 7);
  HttpParser open(HttpParser::Kind::response, 1000);
  open.feed("HTTP/1.0 200 OK\r\n\r\nuntil the end");
  EXPECT_EQ(open.state(), State::body);
  open.finish();
  ASSERT_EQ(open.state(), State::complete);
  EXPECT_EQ(open.message().body, "until the end");
  HttpParser cut(HttpParser::Kind::response, 1000);
  cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  cut.finish();
  EXPECT_EQ(cut.state(), State::failed);
  HttpParser huge(HttpParser::Kind::response, 1000);
  huge.feed("HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'));
  EXPECT_EQ(huge.state(), State::failed);
}

TEST(HttpParser, FormatsWhatItParses) {
  HttpParser parser = request();
  parser.feed(reachhoist::net::formatRequest("POST", "/multi", "10.0.0.1:1", "body"));
  ASSERT_EQ(parser.state(), State::complete);
  EXPECT_EQ(parser.message().body, "body");
  HttpParser answer(HttpParser::Kind::response, 1000);
  answer.feed(reachhoist::net::formatResponse(429, "x", 3, false));
  ASSERT_EQ(answer.state(), State::complete);
  EXPECT_EQ(answer.message().retryAfterS, 3);
  EXPECT_FALSE(answer.message().keepAlive);
}

}  // namespace
