#include "Relay.h"

#include "SmallGet.h"
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <random>
#include <sstream>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Instant;
using HTTP::awaitable;
using Traffic::VersionEvidence;
using namespace std::chrono_literals;

namespace {

// An answer waits this long for a change. The daemon that asks notices a silent source after the timeout below, which
// leaves time to ask another one within the 2 s in which changes have to be in force.
constexpr auto longestWait = 450ms;
constexpr auto answerTimeout = 700ms;
constexpr auto timeoutWithoutWait = 250ms;
// After its start a daemon refuses requests until it has rows; a seed inside the region that is up answers sooner.
constexpr auto timeoutAtStart = 60ms;
// A daemon that has not asked for this long asks another one now, which counts its evidence.
constexpr auto followerTimeout = 3s;

std::string encoded(std::string_view text) { return boost::urls::encode(text, boost::urls::unreserved_chars); }

std::string numbersOf(VersionEvidence const& evidence)
{
    return std::to_string(evidence.requests) + " " + std::to_string(evidence.failures) + " "
        + std::to_string(evidence.slow);
}

uint64_t unsignedOf(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    boost::system::error_code error;
    auto const number = value ? value->to_number<uint64_t>(error) : 0;
    return error ? 0 : number;
}

std::string textOf(boost::json::value const& value)
{
    return value.is_string() ? std::string(value.get_string().data(), value.get_string().size()) : std::string();
}

}

Relay::Relay(asio::io_context& context, HTTP::ConnectionPool& pool, EntryState& state, std::string vmName)
    : m_context(context)
    , m_pool(pool)
    , m_state(state)
    , m_vmName(std::move(vmName))
    , m_incarnation(std::to_string(std::random_device {}()) + std::to_string(std::random_device {}()))
{
}

void Relay::noteChange()
{
    for (auto* const timer : m_waiting)
        timer->cancel();
}

std::map<std::string, std::pair<VersionEvidence, VersionEvidence>, std::less<>> Relay::evidence(Instant now) const
{
    std::map<std::string, std::pair<VersionEvidence, VersionEvidence>, std::less<>> sums;
    for (auto const& [service, progress] : m_state.moves)
        sums[service] = { progress.newVersion, progress.oldVersion };
    for (auto const& [name, follower] : m_followers) {
        if (now - follower.askedAt > followerTimeout)
            continue;
        std::istringstream stream(follower.evidence);
        std::string service;
        uint64_t orderedAt = 0;
        VersionEvidence newVersion;
        VersionEvidence oldVersion;
        while (stream >> service >> orderedAt >> newVersion.requests >> newVersion.failures >> newVersion.slow
            >> oldVersion.requests >> oldVersion.failures >> oldVersion.slow) {
            auto const found = m_state.moves.find(service);
            if (found == m_state.moves.end() || found->second.move.orderedAt != orderedAt)
                continue;
            auto& sum = sums[service];
            sum = { sum.first + newVersion, sum.second + oldVersion };
        }
    }
    return sums;
}

std::string Relay::evidenceText(Instant now) const
{
    std::string text;
    for (auto const& [service, sum] : evidence(now)) {
        auto const& progress = m_state.moves.find(service)->second;
        if (progress.state != Traffic::MoveState::Running)
            continue;
        text += service + " " + std::to_string(progress.move.orderedAt) + " " + numbersOf(sum.first) + " "
            + numbersOf(sum.second) + " ";
    }
    return text;
}

awaitable<RelayAnswer> Relay::ask(std::string member, HTTP::Endpoint endpoint, bool canWait)
{
    auto const now = Core::monotonicNow();
    // Changes count from what this daemon has now only if that came from the same source.
    auto const known = m_lastSource == member ? m_sources[member] : Source {};
    auto const wait = canWait ? std::chrono::duration_cast<std::chrono::milliseconds>(longestWait).count() : 0;
    auto target = "/rows?name=" + encoded(m_vmName) + "&incarnation=" + encoded(known.incarnation)
        + "&after=" + std::to_string(known.version) + "&wait_ms=" + std::to_string(wait)
        + "&evidence=" + encoded(evidenceText(now));
    auto const timeout = canWait ? answerTimeout : m_state.hasReadTargets ? timeoutWithoutWait : timeoutAtStart;
    auto connection = m_pool.take(endpoint, HTTP::ReusePolicy::Any, now);
    if (!connection)
        connection = m_pool.create(endpoint);
    auto const answer = co_await smallGet(m_pool, std::move(connection), std::move(target), now + timeout);
    auto const result = answer && answer->head.status == 200 ? adopt(member, answer->body) : RelayAnswer::Failed;
    co_return result;
}

RelayAnswer Relay::adopt(std::string const& member, std::string const& body)
{
    boost::system::error_code error;
    auto const parsed = boost::json::parse(body, error);
    auto const* const object = error ? nullptr : parsed.if_object();
    auto const* const rows = object ? object->if_contains("rows") : nullptr;
    auto const* const revisions = object ? object->if_contains("revisions") : nullptr;
    if (!rows || !rows->is_array() || !revisions || !revisions->is_object()) {
        Telemetry::EventLine("relay_answer_refused").add("member", member).logWarning();
        return RelayAnswer::Failed;
    }
    Traffic::SharedChanges changes;
    changes.version = unsignedOf(*object, "version");
    changes.isComplete = object->contains("complete");
    for (auto const& revision : revisions->get_object())
        changes.revisions[std::string(revision.key())] = unsignedOf(revisions->get_object(), revision.key());
    for (auto const& entry : rows->get_array()) {
        auto const* const fields = entry.if_array();
        if (!fields || fields->size() != 3)
            return RelayAnswer::Failed;
        Traffic::SharedRow row { textOf((*fields)[0]), textOf((*fields)[1]), std::nullopt };
        if ((*fields)[2].is_string())
            row.text = textOf((*fields)[2]);
        changes.rows.push_back(std::move(row));
    }
    auto const age = std::chrono::milliseconds(unsignedOf(*object, "age_ms"));
    if (!m_state.sharedRows.apply(changes)) {
        m_lastSource.clear();
        return RelayAnswer::Stale;
    }
    m_lastSource = member;
    m_sources[member] = { textOf(object->at("incarnation")), changes.version };
    m_state.rowsReadAt = std::max(m_state.rowsReadAt, Core::monotonicNow() - Core::Duration(age));
    return age <= longestFreshAge ? RelayAnswer::Fresh : RelayAnswer::Stale;
}

std::string Relay::answerText(uint64_t version) const
{
    auto const changes = m_state.sharedRows.changesAfter(version);
    boost::json::object revisions;
    for (auto const& [table, revision] : changes.revisions)
        revisions[table] = revision;
    boost::json::array rows;
    for (auto const& row : changes.rows) {
        boost::json::array entry { boost::json::string(row.table), boost::json::string(row.key) };
        entry.push_back(row.text ? boost::json::value(boost::json::string(*row.text)) : boost::json::value());
        rows.push_back(std::move(entry));
    }
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(Core::monotonicNow() - m_state.rowsReadAt);
    boost::json::object object { { "incarnation", m_incarnation }, { "version", changes.version },
        { "age_ms", age.count() }, { "revisions", std::move(revisions) }, { "rows", std::move(rows) } };
    if (changes.isComplete)
        object["complete"] = true;
    return boost::json::serialize(object);
}

awaitable<void> Relay::answer(HTTP::ServerExchange& exchange)
{
    HTTP::ResponseHead head;
    head.fields.add("Content-Type", "application/json");
    auto const url = boost::urls::parse_origin_form(exchange.head().target);
    if (!url || url->path() != "/rows") {
        head.status = 404;
        co_await exchange.respond(std::move(head), "{}");
        co_return;
    }
    std::map<std::string, std::string, std::less<>> parameters;
    for (auto const& parameter : url->params())
        parameters[parameter.key] = parameter.value;
    auto const numberOf = [&](std::string_view name) {
        uint64_t number = 0;
        auto const found = parameters.find(name);
        if (found != parameters.end())
            std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
        return number;
    };
    m_followers[parameters["name"]] = { parameters["evidence"], Core::monotonicNow() };
    bool const knowsThisStart = parameters["incarnation"] == m_incarnation;
    auto const version = knowsThisStart ? numberOf("after") : 0;
    auto const wait = std::min<Core::Duration>(std::chrono::milliseconds(numberOf("wait_ms")), longestWait);
    if (knowsThisStart && version == m_state.sharedRows.version() && wait.count() > 0) {
        asio::steady_timer timer(m_context, wait);
        m_waiting.insert(&timer);
        co_await timer.async_wait(HTTP::useTuple);
        m_waiting.erase(&timer);
    }
    auto const text = answerText(version);
    co_await exchange.respond(std::move(head), text);
}

}
