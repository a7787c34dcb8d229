// Configuration never reverts: random runs over several stores with a platform
// that may be stale, updates between hosts that are delayed, duplicated,
// reordered or corrupted, and hosts that restart.
#include <algorithm>
#include <array>
#include <base/rendezvous.hpp>
#include <base/testing/random_run.hpp>
#include <catch2/catch.hpp>
#include <config/config_store.hpp>
#include <fake_validator.hpp>
#include <optional>

using namespace kumquatramp;

namespace
{

constexpr auto key = config_key::rules;
constexpr std::size_t host_count = 5;

class fleet
{
public:
    fleet()
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            restart(i);
        }
    }

    void step(std::uint64_t seed)
    {
        random_.emplace(seed);
        auto const host = random_->below(host_count);
        switch (random_->below(8))
        {
        case 0:
            publish();
            break;
        case 1:
            read_platform(host, published_.size());
            break;
        case 2: // a stale platform
            read_platform(host, random_->below(published_.size() + 1));
            break;
        case 3:
        case 4:
            request_update(random_->below(host_count), host);
            break;
        case 5:
        case 6:
            deliver(host);
            break;
        default:
            random_->below(6) == 0 ? restart(host) : deliver(host);
        }
        check(host);
    }

    // Every host updates from its neighbour until the highest version has
    // reached all hosts.
    void synchronize_all()
    {
        for (std::size_t i = 0; i < host_count * host_count; ++i)
        {
            auto const from = i % host_count;
            auto const to = (i + 1) % host_count;
            apply(to, hosts_[from].store->update_since(
                          key, hosts_[to].store->stamp(key)));
        }
    }

    config_stamp highest_held() const
    {
        config_stamp highest;
        for (auto const& host : hosts_)
        {
            highest = std::max(highest, host.store->stamp(key));
        }
        return highest;
    }

    bool agreed() const
    {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [&](auto const& host) {
                               return host.store->stamp(key) == highest_held();
                           });
    }

    std::uint64_t highest_valid() const
    {
        auto version = published_.size();
        while (version > 0 && is_invalid(version))
        {
            --version;
        }
        return version;
    }

    void read_platform(std::size_t host, std::uint64_t version)
    {
        if (version > 0)
        {
            log_event("reads", host, version);
            hosts_[host].store->offer(key, config_version{version},
                                      published_[version - 1]);
        }
    }

    // Restarts all hosts except `kept`; all of them if `kept` is host_count.
    void restart_all_but(std::size_t kept)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            if (i != kept)
            {
                restart(i);
            }
        }
    }

    // Every host reads a platform whose newest version is `version`.
    void read_stale_platform(std::uint64_t version)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            read_platform(i, version);
        }
    }

    std::uint64_t published() const { return published_.size(); }
    int deltas() const { return deltas_; }
    std::string const& fault() const { return fault_; }
    std::vector<std::string> const& log() const { return log_; }

private:
    struct host
    {
        std::unique_ptr<config_store> store;
        config_stamp last_seen; // since its last restart
    };

    bool is_invalid(std::uint64_t version) const
    {
        return published_[version - 1].find("bad") != std::string::npos;
    }

    void restart(std::size_t i)
    {
        log_event("starts", i, 0);
        hosts_[i].store = std::make_unique<config_store>(validator_);
        hosts_[i].last_seen = {};
    }

    // Publishes the newest text with a few lines changed; one in four has a
    // fault.
    void publish()
    {
        auto text = published_.empty() ? std::string() : published_.back();
        auto const bad = text.find("bad\n");
        text.erase(bad == std::string::npos ? text.size() : bad);
        text += "line " + std::to_string(random_->next()) + " of some length\n";
        if (text.size() > 600)
        {
            text.erase(0, text.find('\n', random_->below(500)) + 1);
        }
        published_.push_back(text + (random_->below(4) == 0 ? "bad\n" : ""));
    }

    // Puts the response in flight, one in four corrupted; deliver() may deliver
    // it later.
    void request_update(std::size_t from, std::size_t to)
    {
        auto update =
            hosts_[from].store->update_since(key, hosts_[to].store->stamp(key));
        deltas_ += update.base ? 1 : 0;
        if (random_->below(4) == 0)
        {
            corrupt(update);
        }
        in_flight_.push_back(std::move(update));
    }

    // Changes the lines, the base or the stamp, or replaces the update by an
    // invalid text with a high version and the matching hash.
    void corrupt(config_update& update)
    {
        switch (random_->below(4))
        {
        case 0:
            update.text += "changed\n";
            update.edits.push_back({1, 1, {"changed"}});
            break;
        case 1:
            update.text = "bad\n";
            update.base.reset();
            update.stamp = {config_version{1000}, stable_hash(update.text)};
            break;
        case 2:
            update.base = hosts_[0].store->stamp(key);
            break;
        default:
            update.stamp.version = config_version{update.stamp.version.value() +
                                                  1 + random_->below(3)};
            update.stamp.hash ^= 1;
        }
    }

    // Delivers any message in flight, to any host; one in three stays in flight
    // and may be delivered again.
    void deliver(std::size_t to)
    {
        if (in_flight_.empty())
        {
            return;
        }
        auto const i = random_->below(in_flight_.size());
        apply(to, in_flight_[i]);
        if (random_->below(3) != 0)
        {
            in_flight_.erase(in_flight_.begin() +
                             static_cast<std::ptrdiff_t>(i));
        }
    }

    void apply(std::size_t to, config_update const& update)
    {
        log_event(update.base ? "is sent the changes to" : "is sent", to,
                  update.stamp.version.value());
        auto const taken = hosts_[to].store->offer(update);
        if (!taken)
        {
            auto const kind = taken.error().kind;
            bool const expected = kind == error_kind::stale_configuration ||
                                  kind == error_kind::invalid_configuration;
            require(expected, to, "gave " + taken.error().detail);
        }
    }

    void require(bool holds, std::size_t i, std::string const& otherwise)
    {
        if (!holds && fault_.empty())
        {
            fault_ = "host " + std::to_string(i) + " " + otherwise;
        }
    }

    void log_event(std::string const& what, std::size_t host,
                   std::uint64_t version)
    {
        log_.push_back("host " + std::to_string(host) + " " + what +
                       " version " + std::to_string(version));
    }

    void check(std::size_t i)
    {
        auto& host = hosts_[i];
        auto const stamp = host.store->stamp(key);
        auto const text = host.store->text(key);
        auto const version = stamp.version.value();
        require(stamp >= host.last_seen, i, "reverted to a lower stamp");
        bool const known = version <= published_.size();
        require(known, i, "holds a version that was never published");
        if (version > 0 && known)
        {
            require(!is_invalid(version), i, "holds an invalid file");
            require(*text == published_[version - 1], i, "holds another text");
        }
        host.last_seen = stamp;
    }

    std::optional<seeded_random> random_; // of the current step
    fake_validator validator_;
    std::vector<std::string> published_; // by version, from 1
    std::vector<config_update> in_flight_;
    std::array<host, host_count> hosts_;
    std::vector<std::string> log_;
    std::string fault_; // the first fault found
    int deltas_ = 0;
};

} // namespace

TEST_CASE("no order of offers reverts a host, and all hosts converge")
{
    auto const seed = GENERATE(range(1, 31));
    CAPTURE(seed);
    fleet hosts;
    auto const failure =
        testing::find_failure(hosts, static_cast<std::uint64_t>(seed), 800);
    CAPTURE(failure);
    REQUIRE(failure.empty());
    // While the platform is down, the highest version held by any host wins.
    auto const highest = hosts.highest_held();
    hosts.synchronize_all();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == highest);
    // Once it is back, it is enough that one host reads it.
    hosts.read_platform(2, hosts.highest_valid());
    hosts.read_platform(2, hosts.published());
    hosts.synchronize_all();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held().version.value() == hosts.highest_valid());
    REQUIRE(hosts.deltas() > 20);
}

TEST_CASE("one host with the newest value prevails over a stale platform")
{
    auto const seed = GENERATE(range(31, 41));
    CAPTURE(seed);
    fleet hosts;
    auto const failure =
        testing::find_failure(hosts, static_cast<std::uint64_t>(seed), 300);
    CAPTURE(failure);
    REQUIRE(failure.empty());
    hosts.read_platform(0, hosts.highest_valid());
    auto const newest = hosts.highest_held();
    // All hosts but one restart and read a platform that has reverted.
    hosts.restart_all_but(0);
    hosts.read_stale_platform(3);
    hosts.synchronize_all();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == newest);
    // If no host holds the newest value, the old one from the platform is
    // accepted, and replaced once a host reads the newer one.
    hosts.restart_all_but(host_count);
    hosts.read_stale_platform(3);
    hosts.synchronize_all();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held().version.value() <= 3);
    REQUIRE(hosts.fault().empty());
    hosts.read_platform(4, hosts.highest_valid());
    hosts.synchronize_all();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == newest);
}
