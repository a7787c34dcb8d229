// Tests that forged, malformed and replayed frames from other hosts have no
// effect.
#include <asio/executor_work_guard.hpp>
#include <asio/read.hpp>
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <eventloop/boot_clock.hpp>
#include <mutex>
#include <raw_server.hpp>
#include <transport/peer_client.hpp>
#include <transport/peer_events.hpp>
#include <transport/peer_frame.hpp>
#include <transport/peer_server.hpp>

using namespace kumquatramp;
using kumquatramp::tests::raw_server;
using kumquatramp::tests::tcp;

namespace
{

class recording_peer final : public peer_events
{
public:
    peer_digest on_peer_digest(peer_digest const& digest) override
    {
        ++asked;
        return digest;
    }
    config_update on_fetch(config_key, config_stamp) override { return {}; }
    grant_answer on_grant_request(target_name const&) override { return {}; }
    void on_grant_report(grant_report const&) override {}
    void on_peer_answer(peer_digest const& digest, time_point) override
    {
        std::lock_guard const guard(mutex_);
        answer_ = digest;
        ended_ = true;
        changed_.notify_all();
    }
    void on_config_update(host_name const&, config_update const&) override {}
    void on_grant_answer(member_entry const&, target_name const&,
                         grant_answer const&, time_point) override
    {
    }
    void on_peer_failed(host_name const&) override
    {
        std::lock_guard const guard(mutex_);
        ended_ = true;
        changed_.notify_all();
    }

    /// The answer to one exchange; std::nullopt if it failed.
    std::optional<peer_digest> wait()
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 5s, [this] { return ended_; });
        ended_ = false;
        return std::exchange(answer_, std::nullopt);
    }

    std::atomic<int> asked{0};

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool ended_ = false;
    std::optional<peer_digest> answer_;
};

peer_digest sample_digest()
{
    peer_digest digest;
    digest.from = host_name{"osu-1"};
    digest.life = incarnation{0xfeedfacecafebeefULL};
    digest.booted = true;
    digest.stamps = {{config_key::rules, {config_version{9}, 77}}};
    digest.view_age = 120ms;
    digest.heartbeats = {{host_name{"tema-1"}, incarnation{5}, 17, true}};
    digest.warmths = {{target_name{"sf-0"}, {3, true}}};
    return digest;
}

struct fixture
{
    explicit fixture(std::string const& server_key = "the key of the fleet")
        : server_signer(server_key)
        , server(io, server_signer, remote)
    {
        port = server.listen({"127.0.0.1", 0}).value();
        thread = std::thread([this] { io.run(); });
    }

    ~fixture()
    {
        client.stop();
        io.stop();
        thread.join();
    }

    std::optional<peer_digest> exchange(std::uint16_t at)
    {
        exchange_digest wanted;
        wanted.peer.peer_address = "127.0.0.1:" + std::to_string(at);
        wanted.digest = sample_digest();
        client.exchange(wanted);
        return local.wait();
    }

    asio::io_context io;
    eventloop::boot_clock time;
    seeded_random random{1};
    signer const client_signer{"the key of the fleet"};
    signer const server_signer;
    recording_peer remote;
    recording_peer local;
    peer_server server;
    peer_client client{client_signer, random, local, time};
    std::uint16_t port = 0;
    std::thread thread;
};

} // namespace

TEST_CASE("a digest is exchanged with another host without loss")
{
    fixture f;
    auto const answer = f.exchange(f.port);
    REQUIRE(answer);
    auto const sent = sample_digest();
    REQUIRE(answer->from == sent.from);
    REQUIRE(answer->life == sent.life);
    REQUIRE(answer->stamps == sent.stamps);
    REQUIRE(answer->view_age == sent.view_age);
    REQUIRE(answer->heartbeats == sent.heartbeats);
    REQUIRE(answer->warmths == sent.warmths);
}

TEST_CASE("a request signed with another key is rejected without an answer")
{
    fixture f("some other key of no use");
    REQUIRE_FALSE(f.exchange(f.port));
    REQUIRE(f.remote.asked == 0);
}

TEST_CASE("frames with an invalid length or content close their connection, "
          "and the server continues")
{
    fixture f;
    auto const frame = [&](std::string const& text)
    {
        return encode_frame(f.client_signer, frame_kind::request,
                            {std::string(32, 'a'), text});
    };
    REQUIRE(tests::exchange_bytes(f.port, "\xff\xff\xff\xff").empty());
    REQUIRE(tests::exchange_bytes(f.port, std::string(4, '\0')).empty());
    auto forged = frame(R"({"jsonrpc":"2.0"})");
    forged.back() = '!';
    REQUIRE(tests::exchange_bytes(f.port, forged).empty());
    REQUIRE(f.remote.asked == 0);
    REQUIRE(f.exchange(f.port));
}

TEST_CASE("a replayed answer is rejected")
{
    fixture f;
    std::string recorded;
    // Answers the first exchange correctly and replays that answer afterwards.
    raw_server replayer(
        [&](tcp::socket& socket)
        {
            asio::error_code ec;
            std::array<unsigned char, frame_length_bytes> length{};
            asio::read(socket, asio::buffer(length), ec);
            std::string content(decode_frame_length(length).value_or(0), ' ');
            asio::read(socket, asio::buffer(content), ec);
            if (recorded.empty())
            {
                auto const frame =
                    decode_frame(f.client_signer, frame_kind::request, content);
                recorded = encode_frame(
                    f.client_signer, frame_kind::answer,
                    {frame->nonce,
                     R"({"jsonrpc":"2.0","id":1,"result":)"
                     R"({"from":"a","life":"1","leaving":false,)"
                     R"("booted":true,"stamps":[],"heartbeats":[],)"
                     R"("warmths":[]}})"});
            }
            tests::send_text(socket, recorded);
        });
    REQUIRE(f.exchange(replayer.port()));
    REQUIRE_FALSE(f.exchange(replayer.port())); // idle link closed by server
    REQUIRE_FALSE(f.exchange(replayer.port())); // replayed answer
}
