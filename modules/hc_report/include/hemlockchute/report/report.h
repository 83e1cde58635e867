/*
    hc_report: what the system counts, and how fast it burns its service-level budget.

    Metrics holds counters and histograms and writes them for /metrics; counts of several hosts merge.
*/
#pragma once

#include "hemlockchute/report/Metrics.h"
