// Tests that the log is rate-limited, never blocks, and writes one JSON object
// per line.
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <host/host_log.hpp>
#include <json/reader.h>
#include <json/value.h>
#include <memory>
#include <serving/request_summary.hpp>
#include <sstream>
#include <unistd.h>

namespace kumquatramp::host
{

namespace
{

class manual_clock final : public clock
{
public:
    time_point now() const noexcept override { return at; }
    time_point at = time_point(1h);
};

/// Both ends of a pipe with the smallest capacity.
struct small_pipe
{
    small_pipe()
    {
        REQUIRE(pipe(ends) == 0);
        fcntl(ends[1], F_SETPIPE_SZ, 4096);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~small_pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string read_all() const
    {
        std::string text;
        char part[4096];
        ssize_t size = 0;
        while ((size = read(ends[0], part, sizeof part)) > 0)
        {
            text.append(part, static_cast<std::size_t>(size));
        }
        return text;
    }
    int ends[2]{};
};

serving::request_summary refusal()
{
    serving::request_summary summary;
    summary.outcome = "overloaded";
    summary.route = "r-\"1\"\n\x01\xff";
    summary.version = 7;
    summary.version_age = 4500ms;
    summary.took = 12ms;
    summary.shards = 1;
    summary.missing = 1;
    summary.details = "s1 lost refused-by i-1, last: refused by the target";
    return summary;
}

std::vector<Json::Value> lines_of(std::string const& text)
{
    std::vector<Json::Value> lines;
    std::istringstream stream(text);
    std::string line;
    Json::CharReaderBuilder builder;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    while (std::getline(stream, line))
    {
        Json::Value value;
        CAPTURE(line);
        REQUIRE(reader->parse(line.data(), line.data() + line.size(), &value,
                              nullptr));
        lines.push_back(std::move(value));
    }
    return lines;
}

} // namespace

TEST_CASE("a request's log line holds its fields, whatever bytes they contain")
{
    small_pipe out;
    manual_clock time;
    host_log log(out.ends[1], "front-1", time);
    log.set_store_position({.era = 3, .revision = 140});
    log.request("id \"7\"\x02", refusal());
    log.flush();
    auto const lines = lines_of(out.read_all());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["event"] == "request.failed");
    CHECK(lines[0]["host"] == "front-1");
    CHECK(lines[0]["id"] == "id \"7\"\x02");
    CHECK(lines[0]["outcome"] == "overloaded");
    CHECK(lines[0]["version"] == 7);
    CHECK(lines[0]["version_age_ms"] == 4500);
    CHECK(lines[0]["store_era"] == 3);
    CHECK(lines[0]["store_revision"] == 140);
    CHECK(lines[0]["after_ms"] == 12);
    CHECK(lines[0]["missing"] == 1);
    CHECK(lines[0]["details"].asString().find("refused-by i-1") !=
          std::string::npos);
    CHECK(lines[0]["dropped"] == 0);
}

// Guards against a refused configuration whose line is dropped because many
// requests fail in the same second.
TEST_CASE("a burst of failed requests does not hide a change of state")
{
    small_pipe out;
    manual_clock time;
    host_log log(out.ends[1], "front-1", time);
    for (int i = 0; i < 1000; ++i)
    {
        log.request("id", refusal());
        log.flush();
        out.read_all();
    }
    log.note("configuration.refused", "8", "older");
    log.flush();
    auto const lines = lines_of(out.read_all());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["event"] == "configuration.refused");
}

TEST_CASE("load pattern burst of refusals: lines per second are bounded, and "
          "dropped lines are reported")
{
    small_pipe out;
    manual_clock time;
    host_log log(out.ends[1], "front-1", time);
    std::size_t kept = 0;
    for (int i = 0; i < 5000; ++i)
    {
        log.request("id", refusal());
        log.flush();
        kept += lines_of(out.read_all()).size();
    }
    CHECK(kept == 200);
    CHECK(log.dropped() == 4800);
    time.at += 1s;
    log.request("id", refusal());
    log.flush();
    auto const lines = lines_of(out.read_all());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["dropped"] == 4800);
}

TEST_CASE("a reader of the log that stalls does not block the writer")
{
    small_pipe out;
    manual_clock time;
    host_log log(out.ends[1], "front-1", time);
    for (int second = 0; second < 60; ++second)
    {
        for (int i = 0; i < 200; ++i)
        {
            log.note("target.found", "i-1", std::string(100, 'x'));
            log.flush();
        }
        time.at += 1s;
    }
    CHECK(log.dropped() > 0);
    // Once the reader resumes it gets complete lines, then the dropped count.
    std::string text;
    for (int i = 0; i < 200; ++i)
    {
        text += out.read_all();
        log.flush();
    }
    log.note("target.gone", "i-1", "");
    log.flush();
    text += out.read_all();
    auto const lines = lines_of(text);
    CHECK(lines.back()["event"] == "target.gone");
    CHECK(lines.back()["dropped"].asUInt64() == log.dropped());
}

} // namespace kumquatramp::host
