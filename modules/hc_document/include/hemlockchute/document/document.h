/*
    hc_document: the operators' one long document.

    Its data, its parser with every fault at once, its sections and who may change which, and the
    difference between two versions.
*/
#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/document/DocumentParser.h"
#include "hemlockchute/document/SectionDelta.h"
