// Converts between the types of the dispatch and directory packages and those of the wire protocol.
//
//   update.started.push_back(ToWire(task));
//   dispatcher.OnPeerBegin(FromWire(entry));
#ifndef VERBENARIDGE_INGRESS_WIRE_CONVERSIONS_H_
#define VERBENARIDGE_INGRESS_WIRE_CONVERSIONS_H_

#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/dispatch/load_table.h"
#include "verbenaridge/ingress/crash_notice.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::ingress {

wire::TaskEntry ToWire(const dispatch::EndpointTask& task);
dispatch::EndpointTask FromWire(const wire::TaskEntry& entry);

wire::EndpointEntry ToWire(const directory::Endpoint& endpoint);
directory::Endpoint FromWire(const wire::EndpointEntry& entry);

// Adds as many entries of the notice as a datagram has room for, the latest first.
void AddCrashNotice(const CrashNotice& notice, TimePoint now, wire::DirectoryGossip& gossip);
CrashNotice CrashNoticeOf(const wire::DirectoryGossip& gossip, TimePoint now);

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_WIRE_CONVERSIONS_H_
