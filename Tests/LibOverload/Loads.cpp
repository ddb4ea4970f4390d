#include "Loads.h"

namespace Comfreysail::Tests {

using namespace std::chrono_literals;

namespace {

PlayedKind quoteRead()
{
    return { .name = "quote-read",
        .work = 160ms,
        .latencyTarget = 400ms,
        .limit = 4s,
        .timeout = 2s,
        .worth = 1.4,
        .worthIfLate = 0.056,
        .rank = 0 };
}

PlayedKind statementPull()
{
    return { .name = "statement-pull",
        .work = 130ms,
        .latencyTarget = 1500ms,
        .limit = 6s,
        .timeout = 6s,
        .worth = 0.74,
        .worthIfLate = 0.074,
        .rank = 1 };
}

PlayedKind historyRead()
{
    return { .name = "history-read",
        .work = 640ms,
        .latencyTarget = 3s,
        .limit = 10s,
        .timeout = 5s,
        .worth = 0.37,
        .worthIfLate = 0.055,
        .rank = 2 };
}

PlayedKind ficha()
{
    return { .name = "ficha",
        .work = 48ms,
        .latencyTarget = 200ms,
        .limit = 1500ms,
        .timeout = 800ms,
        .worth = 2,
        .worthIfLate = 0.2,
        .rank = 1,
        .retries = 2 };
}

PlayedKind loteAcademico()
{
    return { .name = "lote-academico",
        .work = 300ms,
        .latencyTarget = 800ms,
        .limit = 6s,
        .timeout = 3s,
        .worth = 1,
        .worthIfLate = 0.1,
        .rank = 2,
        .retries = 2 };
}

}

PlayedLoad urgentBurst()
{
    auto urgent = quoteRead();
    urgent.perSecond = 81;
    urgent.burst = 3.6;
    auto other = statementPull();
    other.perSecond = 30;
    PlayedLoad load;
    load.kinds = { urgent, other };
    load.targets = 22;
    return load;
}

PlayedLoad leastUrgentBurst()
{
    auto urgent = ficha();
    urgent.perSecond = 70;
    auto other = loteAcademico();
    other.perSecond = 33;
    other.burst = 3.3;
    PlayedLoad load;
    load.kinds = { urgent, other };
    load.targets = 16;
    load.longPart = 0.03;
    return load;
}

PlayedLoad bulkBurst()
{
    auto urgent = ficha();
    urgent.perSecond = 5;
    PlayedKind const bulk { .name = "escucha",
        .perSecond = 80,
        .work = 120ms,
        .latencyTarget = 400ms,
        .limit = 3s,
        .timeout = 1500ms,
        .worth = 1,
        .worthIfLate = 0.1,
        .rank = 2,
        .retries = 2,
        .burst = 3.5 };
    PlayedLoad load;
    load.kinds = { urgent, bulk };
    load.targets = 23;
    load.longPart = 0.03;
    return load;
}

PlayedLoad highLoad(double burst)
{
    auto load = bulkBurst();
    load.kinds[0].perSecond = 60;
    load.kinds[1].burst = burst;
    return load;
}

PlayedLoad lossOfThird()
{
    auto urgent = statementPull();
    urgent.perSecond = 60;
    auto other = historyRead();
    other.perSecond = 40;
    PlayedLoad load;
    load.kinds = { urgent, other };
    load.targets = 21;
    load.targetsLostInBurst = 7;
    return load;
}

PlayedLoad fixedBurst()
{
    auto load = urgentBurst();
    load.isRegular = true;
    load.slowPart = 0;
    return load;
}

PlayedLoad staleKnowledge()
{
    auto load = urgentBurst();
    load.reportDelay = 250ms;
    return load;
}

}
