#include "GroupChoice.h"

#include <algorithm>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

ZoneRoute const* zoneNamed(std::vector<ZoneRoute> const& zones, std::string_view name)
{
    auto const found = std::ranges::find(zones, name, &ZoneRoute::availabilityZone);
    return found == zones.end() ? nullptr : &*found;
}

unsigned slotsOf(ZoneRoute const& zone, std::string const& version)
{
    auto const found = zone.slotsByVersion.find(version);
    return found == zone.slotsByVersion.end() ? 0 : found->second;
}

/// Selects a zone with a probability proportional to its slots for the version; nullptr if no zone has any.
ZoneRoute const* pickZoneBySlots(std::vector<ZoneRoute const*> const& zones, std::string const& version, double uniform)
{
    unsigned total = 0;
    for (auto const* zone : zones)
        total += slotsOf(*zone, version);
    auto position = static_cast<unsigned>(uniform * total);
    for (auto const* zone : zones) {
        auto const slots = slotsOf(*zone, version);
        if (position < slots)
            return zone;
        position -= slots;
    }
    return nullptr;
}

ZoneRoute const* chooseZone(DaemonServices& services, RequestContext const& context,
    std::vector<ZoneRoute> const& zones, std::string const& version, double uniform)
{
    std::vector<ZoneRoute const*> usable;
    for (auto const& zone : zones) {
        bool const hasFailed
            = std::ranges::find(context.failedZones, zone.availabilityZone) != context.failedZones.end();
        if (!hasFailed && slotsOf(zone, version) > 0)
            usable.push_back(&zone);
    }
    auto const own = std::ranges::find(usable, services.settings.availabilityZone, &ZoneRoute::availabilityZone);
    auto const* const preferred = own != usable.end() ? *own : pickZoneBySlots(usable, version, uniform);
    if (!preferred)
        return nullptr;
    auto const destination
        = services.controlPlane.zoneFor(context.classification.service, preferred->availabilityZone, uniform);
    if (destination == preferred->availabilityZone)
        return preferred;
    // An empty name means any other zone.
    std::erase(usable, preferred);
    auto const destinationZone = std::ranges::find(usable, destination, &ZoneRoute::availabilityZone);
    if (destinationZone != usable.end())
        return *destinationZone;
    auto const* const other = pickZoneBySlots(usable, version, uniform);
    return other ? other : preferred;
}

}

Result<GroupChoice> chooseGroup(DaemonServices& services, RequestContext const& context)
{
    auto const& classification = context.classification;
    auto const table = services.routing.current();
    auto const found = table->services.find(classification.service);
    if (found == table->services.end())
        return Error { ErrorKind::NoTargetAvailable, "the service has no availability zone in service" };
    auto const& zones = found->second;
    GroupChoice choice;
    double const uniform = context.draw / drawRange;
    choice.version = services.controlPlane.versionFor(
        classification.service, classification.effectiveDepartment, classification.routeName, uniform);
    ZoneRoute const* zone = nullptr;
    if (classification.chosenGroup && context.failedZones.empty())
        zone = zoneNamed(zones, classification.chosenGroup->availabilityZone);
    bool const wasChosenByPeer = zone != nullptr;
    if (!zone)
        zone = chooseZone(services, context, zones, choice.version.version, uniform);
    if (!zone || zone->shards.empty()) {
        return Error { ErrorKind::NoTargetAvailable,
            "no availability zone in service has version " + choice.version.version };
    }
    auto const shards = static_cast<unsigned>(zone->shards.size());
    auto const shard = wasChosenByPeer ? std::min(classification.chosenGroup->shard, shards - 1)
                                       : Routing::shardOfRequest(classification.requestId, shards);
    choice.group = { zone->availabilityZone, shard, context.draw };
    choice.dispatcher = zone->shards[shard].dispatcher;
    choice.home = zone->shards[shard].home;
    return choice;
}

std::optional<GroupChoice> chooseSpillGroup(DaemonServices& services, RequestContext const& context,
    GroupChoice const& choice, Routing::GroupKey const& sibling)
{
    auto const table = services.routing.current();
    auto const found = table->services.find(sibling.service);
    auto const* const zone
        = found == table->services.end() ? nullptr : zoneNamed(found->second, sibling.availabilityZone);
    if (!zone || sibling.shard >= zone->shards.size() || slotsOf(*zone, choice.version.version) == 0)
        return std::nullopt;
    auto const& shard = zone->shards[sibling.shard];
    return GroupChoice { { sibling.availabilityZone, sibling.shard, context.draw }, choice.version, shard.dispatcher,
        shard.home };
}

namespace {

/// A version that is being rolled out uses only its first targets in name order; excludes the others.
void excludeTargetsBeyondLimit(std::vector<std::string>& excluded, Settings::SettingsTree const& tree,
    RequestContext const& context, GroupChoice const& choice)
{
    auto const* const service = tree.service(context.classification.service);
    auto const version
        = service ? service->versions.find(choice.version.version) : decltype(service->versions.end()) {};
    if (!service || version == service->versions.end())
        return;
    std::vector<std::string> names;
    for (auto const& target : version->second.targets)
        names.push_back(target.name);
    std::ranges::sort(names);
    for (size_t index = *choice.version.targetLimit; index < names.size(); ++index)
        excluded.push_back(names[index]);
}

}

Routing::PickRequest pickRequestFor(
    DaemonServices& services, RequestContext const& context, GroupChoice const& choice, Core::Instant now)
{
    Routing::PickRequest request;
    request.version = choice.version.version;
    request.idempotent = context.classification.isIdempotent;
    request.suspect = services.retries.isSuspect(context.fingerprint, now);
    request.excludedTargets = context.failedTargets;
    if (choice.version.targetLimit)
        excludeTargetsBeyondLimit(request.excludedTargets, *services.controlPlane.settings()->tree, context, choice);
    return request;
}

}
