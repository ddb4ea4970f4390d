#pragma once

/// Public header of LibTelemetry: counters, gauges, latency histograms, their Prometheus text, and event log lines.

#include <LibTelemetry/EventLine.h>
#include <LibTelemetry/EventText.h>
#include <LibTelemetry/LatencyHistogram.h>
#include <LibTelemetry/LogRateLimiter.h>
#include <LibTelemetry/MetricRegistry.h>
