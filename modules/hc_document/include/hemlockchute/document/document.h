/*
    hc_document: the operators' configuration document.

    Its data types, a parser that reports all faults at once, its sections by team, and the delta
    between two versions.
*/
#pragma once

#include "hemlockchute/document/Document.h"
#include "hemlockchute/document/DocumentParser.h"
#include "hemlockchute/document/SectionDelta.h"
