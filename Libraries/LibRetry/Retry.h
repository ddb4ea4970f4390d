#pragma once

/// Public header of LibRetry: decides whether a failed request is retried, and refuses requests that crash targets.

#include <LibRetry/CrashRow.h>
#include <LibRetry/Fingerprint.h>
#include <LibRetry/Quarantine.h>
#include <LibRetry/RetryBudget.h>
#include <LibRetry/RetryDecision.h>
