#pragma once

#include <LibMembership/Heartbeat.h>
#include <LibMoves/EvidenceDelta.h>
#include <LibWire/CrashReport.h>
#include <LibWire/DrainNotice.h>
#include <LibWire/LoadReport.h>
#include <LibWire/MoveRows.h>
#include <LibWire/MoveVerdict.h>
#include <LibWire/SettingsReply.h>
#include <LibWire/SettingsRequest.h>
#include <cstdint>
#include <string>
#include <variant>

namespace Comfreysail::Wire {

using Body = std::variant<Membership::Heartbeat, SettingsRequest, SettingsReply, LoadReport, CrashReport,
    Moves::EvidenceDelta, MoveVerdict, DrainNotice, MoveRows>;

/// A message between daemons.
struct Message {
    std::string sender;
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 }; ///< Increases by one with each message of the sender.
    Body body;

    bool operator==(Message const&) const = default;
};

}
