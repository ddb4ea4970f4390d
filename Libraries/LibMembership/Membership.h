#pragma once

/// Public header of LibMembership: which daemons exist, which of them are alive, and whether this daemon may accept
/// new work.

#include <LibMembership/Heartbeat.h>
#include <LibMembership/Member.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipOptions.h>
#include <LibMembership/Overlay.h>
#include <LibMembership/PlatformVm.h>
