/*
    hc_agreement: the replicated log of the keepers.

    A Replica is a plain state machine: messages and ticks go in, messages and things to persist
    come out. It reads no clock, opens no socket and draws its random numbers from a seed.
*/
#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/agreement/Replica.h"
