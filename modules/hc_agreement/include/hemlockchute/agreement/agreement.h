/*
    hc_agreement: the replicated log of the keepers, agreed on with Raft.

    A Replica is a deterministic state machine: messages and ticks go in, messages and state to
    persist come out. It reads no clock, opens no socket and draws its random numbers from a seed.
*/
#pragma once

#include "hemlockchute/agreement/AgreementMessage.h"
#include "hemlockchute/agreement/Replica.h"
