#pragma once

/// Public header of LibClaims: ensures that a non-idempotent request runs at most once for each idempotency key, by a
/// conditional write of a row in the table service. docs/design.md, section 3.2, describes the protocol.

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimBatcher.h>
#include <LibClaims/ClaimEvent.h>
#include <LibClaims/ClaimExpiry.h>
#include <LibClaims/ClaimLimits.h>
#include <LibClaims/ClaimRow.h>
#include <LibClaims/ClaimState.h>
#include <LibClaims/ClaimStep.h>
#include <LibClaims/DuplicateRequest.h>
