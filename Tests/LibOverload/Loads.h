#pragma once

#include "ShortagePlay.h"

namespace Comfreysail::Tests {

/// The loads of section 3 of docs/design/current-work.md at a quarter of the size, with rates that make them short of
/// capacity. Kinds are listed with the most urgent one first.

/// quote-read bursts beside steady statement-pull. 22 targets serve about 260 quote-reads a second on time.
PlayedLoad urgentBurst();
/// lote-academico bursts beside steady ficha, and 3 in 100 requests take 7 times as long.
PlayedLoad leastUrgentBurst();
/// escucha, the bulk of its service, bursts beside little ficha.
PlayedLoad bulkBurst();
/// escucha beside ficha, which is a small part of the work, from below the capacity (burst 1.6) to a shortage (3.2).
PlayedLoad highLoad(double burst);
/// statement-pull and history-read while a third of the targets is gone.
PlayedLoad lossOfThird();
/// urgentBurst(), with load reports that are 250 ms old.
PlayedLoad staleKnowledge();
/// urgentBurst() without chance: equal distances and work, and no slow targets.
PlayedLoad fixedBurst();

}
