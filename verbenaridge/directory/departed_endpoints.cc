#include "verbenaridge/directory/departed_endpoints.h"

#include "verbenaridge/directory/endpoint_table.h"

namespace verbenaridge::directory {

bool DepartedEndpoints::Departure::IsSucceededBy(const Endpoint& entry) const {
  return start_unix_ms != 0 && entry.start_unix_ms > start_unix_ms;
}

void DepartedEndpoints::Add(const Endpoint& endpoint, TimePoint now) {
  departures_.insert_or_assign(endpoint.id,
                               Departure{endpoint.start_unix_ms, endpoint.draining, now});
  order_.push_back({now, endpoint.id});
  if (order_.size() > options_.max_endpoints) RemoveFirst();
}

void DepartedEndpoints::RemoveExpired(TimePoint now) {
  while (!order_.empty() && now - order_.front().time > options_.max_age) RemoveFirst();
}

void DepartedEndpoints::RemoveFirst() {
  const Step& first = order_.front();
  const auto found = departures_.find(first.id);
  if (found != departures_.end() && found->second.time == first.time) departures_.erase(found);
  order_.pop_front();
}

const DepartedEndpoints::Departure* DepartedEndpoints::Find(const EndpointId& id) const {
  const auto found = departures_.find(id);
  return found == departures_.end() ? nullptr : &found->second;
}

}  // namespace verbenaridge::directory
