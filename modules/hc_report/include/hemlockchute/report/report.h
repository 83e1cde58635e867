/*
    hc_report: metrics, and the burn rate of the service-level error budget.

    Metrics holds counters, gauges and histograms and formats them for /metrics. BurnRecorder counts
    requests that met and missed their targets; makeBurnReport() compares them with the document. The
    counts of several hosts can be merged.
*/
#pragma once

#include "hemlockchute/report/BurnRecorder.h"
#include "hemlockchute/report/BurnReport.h"
#include "hemlockchute/report/Metrics.h"
