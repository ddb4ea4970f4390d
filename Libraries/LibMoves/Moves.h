#pragma once

/// Public header of LibMoves: the share of traffic that a declared move has reached, the evidence about the new
/// version, and the verdict on it.

#include <LibMoves/Evidence.h>
#include <LibMoves/EvidenceDelta.h>
#include <LibMoves/Judge.h>
#include <LibMoves/Move.h>
#include <LibMoves/MoveStep.h>
#include <LibMoves/Observation.h>
#include <LibMoves/Share.h>
#include <LibMoves/Verdict.h>
