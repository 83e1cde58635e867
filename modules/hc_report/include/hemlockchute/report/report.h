/*
    hc_report: what the system counts, and how fast it burns its service-level budget.

    Metrics holds counters and histograms and writes them for /metrics. BurnRecorder counts requests
    within and outside their targets; makeBurnReport() compares them with the document. The counts
    of several hosts merge.
*/
#pragma once

#include "hemlockchute/report/BurnRecorder.h"
#include "hemlockchute/report/BurnReport.h"
#include "hemlockchute/report/Metrics.h"
