// Tests message_reader with split, ambiguous, oversized and malformed messages.
#include <catch2/catch.hpp>
#include <eventloop/message_reader.hpp>

namespace kumquatramp::eventloop
{

namespace
{

using progress = message_reader::progress;

constexpr std::size_t header_limit = 400;
constexpr std::size_t body_limit = 100;

struct request_reader : message_reader
{
    request_reader()
        : message_reader(kind::request, header_limit, body_limit)
    {
    }
};

struct response_reader : message_reader
{
    response_reader()
        : message_reader(kind::response, header_limit, body_limit)
    {
    }
};

progress read(std::string const& bytes)
{
    request_reader reader;
    reader.feed(bytes);
    return reader.state();
}

} // namespace

TEST_CASE("a request split in two at every byte is parsed")
{
    std::string const bytes = "POST /a?b HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
                              "Content-Length: 3\r\n\r\nabcGET";
    std::size_t const whole = bytes.size() - 3;
    for (std::size_t cut = 0; cut < whole; ++cut)
    {
        request_reader reader;
        std::size_t used = reader.feed(std::string_view(bytes).substr(0, cut));
        CHECK(used == cut);
        used += reader.feed(std::string_view(bytes).substr(cut));
        INFO("cut at " << cut);
        REQUIRE(reader.state() == progress::complete);
        CHECK(used == whole);
        CHECK(reader.message().method == "POST");
        CHECK(reader.message().target == "/a?b");
        CHECK(reader.message().header("x-a") == "1");
        CHECK(reader.message().body == "abc");
    }
}

TEST_CASE("chunks of a body are joined")
{
    request_reader reader;
    reader.feed(std::string_view("POST / HTTP/1.1\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n"
                                 "\r\n"));
    REQUIRE(reader.state() == progress::complete);
    CHECK(reader.message().body == "abc");
}

TEST_CASE("malformed messages and ambiguous framing are rejected")
{
    CHECK(read("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
               "chunked\r\n\r\n0\r\n\r\n") == progress::malformed);
    CHECK(read("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
               "4\r\n\r\nabcd") == progress::malformed);
    CHECK(read("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n") ==
          progress::malformed);
    CHECK(read("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n") ==
          progress::malformed);
    CHECK(read("POST / HTTP/1.1\r\nTransfer-Encoding: "
               "chunked\r\n\r\nzz\r\n") == progress::malformed);
    CHECK(read("GET / HTTP/1.1\r\nBad Name: x\r\n\r\n") == progress::malformed);
    CHECK(read("GET / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n") ==
          progress::malformed);
    CHECK(read("GET / HTTP/1.1\r\nX: a\x01\r\n\r\n") == progress::malformed);
    CHECK(read("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n") != progress::head);
    CHECK(read("\x16\x03\x01\x02") == progress::malformed);
}

TEST_CASE("size limits on headers and bodies are enforced")
{
    std::string const long_header(header_limit, 'x');
    CHECK(read("GET / HTTP/1.1\r\nX: " + long_header) ==
          progress::headers_too_large);
    CHECK(read("GET /" + long_header) == progress::headers_too_large);
    CHECK(read("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
          progress::body_too_large);
    CHECK(read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
               std::string(101, 'b')) == progress::body_too_large);
    std::string blank;
    for (std::size_t i = 0; i < header_limit; ++i)
    {
        blank += "\r\n";
    }
    CHECK(read(blank) == progress::malformed);
}

TEST_CASE("a response without a length ends with its connection")
{
    response_reader reader;
    reader.feed(std::string_view("HTTP/1.1 200 OK\r\n\r\nabc"));
    CHECK(reader.state() == progress::body);
    reader.finish();
    CHECK(reader.state() == progress::complete);
    CHECK(reader.message().body == "abc");
    CHECK_FALSE(reader.message().keep_alive);
}

TEST_CASE("a truncated response is malformed")
{
    response_reader reader;
    reader.feed(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                 "\r\nabc"));
    reader.finish();
    CHECK(reader.state() == progress::malformed);
    response_reader head;
    head.feed(std::string_view("HTTP/1.1 200 OK\r\nContent-Le"));
    head.finish();
    CHECK(head.state() == progress::malformed);
}

// Guards against a response that ends within its head and looks complete.
TEST_CASE("a response that ends at any byte of its head is malformed")
{
    std::string const framing =
        GENERATE("Content-Length: 5\r\n", "Content-Length: 0\r\n",
                 "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "");
    std::string const head =
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\n" + framing + "\r\n";
    for (std::size_t length = 0; length < head.size(); ++length)
    {
        CAPTURE(framing, length);
        response_reader reader;
        reader.feed(std::string_view(head).substr(0, length));
        CHECK(reader.state() != progress::complete);
        reader.finish();
        CHECK(reader.state() == progress::malformed);
    }
}

TEST_CASE("a response to HEAD has a length but no body")
{
    response_reader reader;
    reader.reset(true);
    std::string_view const bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                   "\r\n";
    CHECK(reader.feed(bytes) == bytes.size());
    CHECK(reader.state() == progress::complete);
}

TEST_CASE("hop-by-hop headers are recognized")
{
    CHECK(is_hop_by_hop("keep-alive", ""));
    CHECK(is_hop_by_hop("X-Mine", "close, x-mine"));
    CHECK_FALSE(is_hop_by_hop("X-Other", "close, x-mine"));
}

// Guards against idle connections that keep the memory of a large message.
TEST_CASE("a reader that was reset holds nothing of the last message")
{
    message_reader reader(message_reader::kind::response, 65536, 1U << 20U);
    std::string bytes = "HTTP/1.1 503 Service Unavailable\r\n";
    for (int i = 0; i < 900; ++i)
    {
        bytes += "X-Line: 1\r\n";
    }
    bytes += "Content-Length: 1000000\r\n\r\n" + std::string(1000000, 'a');
    reader.feed(bytes);
    REQUIRE(reader.state() == message_reader::progress::complete);
    CHECK(reader.buffered_bytes() > 1000000 + 900 * sizeof(header_line));
    reader.reset();
    CHECK(reader.buffered_bytes() == 0);
    CHECK(reader.message().body.capacity() < 1000);
    CHECK(reader.message().headers.capacity() < 100);
}

// Guards against a body that grows by doubling to twice what it may use.
TEST_CASE("a body is not given more memory than its limit")
{
    constexpr std::size_t limit = 262'144;
    constexpr std::size_t piece = 3000;
    bool const chunked = GENERATE(false, true);
    CAPTURE(chunked);
    message_reader reader(message_reader::kind::request, header_limit, limit);
    reader.feed(
        std::string("POST / HTTP/1.1\r\n") +
        (chunked ? "Transfer-Encoding: chunked" : "Content-Length: 200000") +
        "\r\n\r\n");
    CHECK(reader.expected_bytes() >= (chunked ? 0U : 200'000U));
    std::size_t const end = chunked ? limit - piece : 200'000 - piece;
    for (std::size_t sent = 0; sent <= end; sent += piece)
    {
        reader.feed(chunked ? "bb8\r\n" + std::string(piece, 'b') + "\r\n"
                            : std::string(piece, 'b'));
        CHECK(reader.message().body.size() == sent + piece);
        CHECK(reader.message().body.capacity() <= (chunked ? limit : 200'000));
    }
}

// Guards against a response without a valid status that is passed on, or taken
// for an interim one so that the final one is waited for.
TEST_CASE("a status has three digits, from 100 to 599")
{
    auto const read_response = [](std::string const& status_line, bool in_bytes)
    {
        response_reader reader;
        std::string const bytes = status_line + "\r\nContent-Length: 0\r\n\r\n";
        for (std::size_t at = 0; in_bytes && at < bytes.size(); ++at)
        {
            reader.feed({bytes.data() + at, 1});
        }
        if (!in_bytes)
        {
            reader.feed(bytes);
        }
        return reader.state();
    };
    bool const in_bytes = GENERATE(false, true);
    CAPTURE(in_bytes);
    for (char const* const bad :
         {"000", "000 Bad", "001 Bad", "099 Bad", "00200 OK", "0200 OK",
          "20 OK", "2 OK", "600 Bad", "999 Bad", " 200 OK", "2x0 OK"})
    {
        CAPTURE(bad);
        CHECK(read_response(std::string("HTTP/1.1 ") + bad, in_bytes) ==
              progress::malformed);
    }
    for (char const* const good :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ",
          "\r\nHTTP/1.1 599 x", "HTTP/1.1 302 000"})
    {
        CAPTURE(good);
        CHECK(read_response(good, in_bytes) == progress::complete);
    }
}

} // namespace kumquatramp::eventloop
