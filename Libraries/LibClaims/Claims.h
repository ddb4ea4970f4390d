#pragma once

/// Public header of LibClaims: at most one run of a non-idempotent request for each idempotency key, decided by a
/// conditionally written row in the table service. docs/design.md, section 3.2, gives the protocol.

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimBatcher.h>
#include <LibClaims/ClaimEvent.h>
#include <LibClaims/ClaimExpiry.h>
#include <LibClaims/ClaimLimits.h>
#include <LibClaims/ClaimRow.h>
#include <LibClaims/ClaimState.h>
#include <LibClaims/ClaimStep.h>
#include <LibClaims/RepeatedSend.h>
