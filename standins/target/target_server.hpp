// The HTTP server of one stand-in target.
#ifndef KUMQUATRAMP_STANDINS_TARGET_TARGET_SERVER_HPP
#define KUMQUATRAMP_STANDINS_TARGET_TARGET_SERVER_HPP

#include <chrono>
#include <httplib.h>
#include <json/json.h>
#include <memory>
#include <optional>
#include <standins/target/execution_slots.hpp>
#include <standins/target/stock_list.hpp>
#include <standins/target/target_record.hpp>
#include <standins/target/target_settings.hpp>
#include <string>
#include <vector>

namespace kumquatramp::standins
{

/// Executes sub-requests and serves the control endpoints on the same port.
class target_server
{
public:
    /// `stock` is shared by all targets of the process.
    target_server(target_settings settings,
                  std::shared_ptr<std::vector<stock_item> const> stock);

    httplib::Server& http() noexcept { return http_; }

private:
    struct sub_request;

    bool admit_connection(httplib::Response& response);
    void execute(httplib::Request const& request, httplib::Response& response);
    void run(sub_request const& requested, std::string const& body,
             httplib::Response& response);
    void answer(sub_request const& requested, std::string const& body,
                httplib::Response& response);
    void add_load(target_settings const& settings, httplib::Response& response);
    std::optional<Json::Value> compute(sub_request const& requested,
                                       std::string const& body) const;
    void set(httplib::Request const& request, httplib::Response& response);

    std::shared_ptr<std::vector<stock_item> const> stock_;
    std::chrono::steady_clock::time_point const started_;
    execution_slots slots_;
    target_record record_;
    std::mutex load_mutex_;
    // load_mutex_ guards the next two members.
    std::string lagged_load_;
    std::chrono::steady_clock::time_point lagged_load_time_;
    httplib::Server http_;
};

} // namespace kumquatramp::standins

#endif
