// The JSON body that all error responses share.
#include <transport/error_body.hpp>
#include <transport/json_text.hpp>

namespace kumquatramp
{

std::string error_body(std::string_view trace, error const& fault)
{
    return error_body(trace, fault, answer_of(fault.kind).state);
}

std::string error_body(std::string_view trace, error const& fault,
                       run_state state)
{
    auto const& row = answer_of(fault.kind);
    Json::Value body;
    if (!trace.empty())
    {
        body["trace"] = std::string(trace);
    }
    auto& inner = body["error"];
    inner["code"] = std::string(row.code);
    inner["text"] = std::string(row.text);
    inner["detail"] = fault.detail;
    inner["state"] = std::string(to_string(state));
    return to_json_text(body);
}

} // namespace kumquatramp
