// Configuration never reverts: several stores, a platform that may be stale,
// updates between hosts that arrive late, twice, crossed or damaged, and
// hosts that restart, in random order.
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
            ask(random_->below(host_count), host);
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

    // Every host asks its neighbour until the news has been all around.
    void settle()
    {
        for (std::size_t i = 0; i < host_count * host_count; ++i)
        {
            auto const from = i % host_count;
            auto const to = (i + 1) % host_count;
            take(to, hosts_[from].store->update_since(
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
        while (version > 0 && is_bad(version))
        {
            --version;
        }
        return version;
    }

    void read_platform(std::size_t host, std::uint64_t version)
    {
        if (version > 0)
        {
            note("reads", host, version);
            hosts_[host].store->offer(key, config_version{version},
                                      published_[version - 1]);
        }
    }

    // Replaces all hosts but one; all of them if `kept` is host_count.
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
        config_stamp last_seen; // of this life
    };

    bool is_bad(std::uint64_t version) const
    {
        return published_[version - 1].find("bad") != std::string::npos;
    }

    void restart(std::size_t i)
    {
        note("starts", i, 0);
        hosts_[i].store = std::make_unique<config_store>(validator_);
        hosts_[i].last_seen = {};
    }

    // The newest text with a few lines changed; now and then with a fault.
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

    // An answer that is under way for a while.
    void ask(std::size_t from, std::size_t to)
    {
        auto update =
            hosts_[from].store->update_since(key, hosts_[to].store->stamp(key));
        deltas_ += update.base ? 1 : 0;
        if (random_->below(4) == 0)
        {
            damage(update);
        }
        under_way_.push_back(std::move(update));
    }

    // A version that it should not have, another base or changed lines.
    void damage(config_update& update)
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

    // Any message, to any host, and not for the last time.
    void deliver(std::size_t to)
    {
        if (under_way_.empty())
        {
            return;
        }
        auto const i = random_->below(under_way_.size());
        take(to, under_way_[i]);
        if (random_->below(3) != 0)
        {
            under_way_.erase(under_way_.begin() +
                             static_cast<std::ptrdiff_t>(i));
        }
    }

    void take(std::size_t to, config_update const& update)
    {
        note(update.base ? "is sent the changes to" : "is sent", to,
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

    void note(std::string const& what, std::size_t host, std::uint64_t version)
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
        require(stamp >= host.last_seen, i, "went back");
        bool const known = version <= published_.size();
        require(known, i, "holds a version that was never published");
        if (version > 0 && known)
        {
            require(!is_bad(version), i, "holds a bad file");
            require(*text == published_[version - 1], i, "holds another text");
        }
        host.last_seen = stamp;
    }

    std::optional<seeded_random> random_; // of the step
    fake_validator validator_;
    std::vector<std::string> published_; // by version, from 1
    std::vector<config_update> under_way_;
    std::array<host, host_count> hosts_;
    std::vector<std::string> log_;
    std::string fault_; // the first one
    int deltas_ = 0;
};

} // namespace

TEST_CASE("no order of offers reverts a host, and hosts come to agree")
{
    auto const seed = GENERATE(range(1, 31));
    CAPTURE(seed);
    fleet hosts;
    auto const failure =
        testing::find_failure(hosts, static_cast<std::uint64_t>(seed), 800);
    CAPTURE(failure);
    REQUIRE(failure.empty());
    // The platform is down: the highest version that any host holds wins.
    auto const highest = hosts.highest_held();
    hosts.settle();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == highest);
    // It is back, and one host reads it.
    hosts.read_platform(2, hosts.highest_valid());
    hosts.read_platform(2, hosts.published());
    hosts.settle();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held().version.value() == hosts.highest_valid());
    REQUIRE(hosts.deltas() > 20);
}

TEST_CASE("one host that remembers outvotes a stale platform")
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
    // All but one are replaced and read a platform that has fallen back.
    hosts.restart_all_but(0);
    hosts.read_stale_platform(3);
    hosts.settle();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == newest);
    // If nobody remembers, the platform's old value is all that there is:
    // it is taken, and left again once the newer one has been seen.
    hosts.restart_all_but(host_count);
    hosts.read_stale_platform(3);
    hosts.settle();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held().version.value() <= 3);
    REQUIRE(hosts.fault().empty());
    hosts.read_platform(4, hosts.highest_valid());
    hosts.settle();
    REQUIRE(hosts.agreed());
    REQUIRE(hosts.highest_held() == newest);
}
