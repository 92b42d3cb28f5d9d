// The part of DirectoryService that reads the configuration and the evacuations from the store.
#include <algorithm>
#include <string_view>
#include <utility>

#include "verbenaridge/base/compression.h"
#include "verbenaridge/ingress/directory_service.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {

using telemetry::Level;
using telemetry::Log;

void DirectoryService::ReadConfiguration() {
  configuration_schedule_.OnReadStarted(clock_.Now());
  if (full_read_needed_) {
    store_.ReadConfiguration(WhileAlive<directory::StoredConfiguration>(
        [this](Result<directory::StoredConfiguration> stored) {
          OnConfigurationRead(std::move(stored));
        }));
  } else {
    store_.PollConfiguration(position_, WhileAlive<directory::ConfigurationNews>(
                                            [this](Result<directory::ConfigurationNews> news) {
                                              OnConfigurationPolled(std::move(news));
                                            }));
  }
}

void DirectoryService::ReadEvacuations() {
  store_.ReadEvacuations(
      WhileAlive<directory::EvacuationView>([this](Result<directory::EvacuationView> view) {
        if (view.has_error()) {
          OnConfigurationFailed(view.error());
          return;
        }
        OnEvacuationsChanged(ReplaceEvacuations(std::move(view).value()), "store");
        OnFullRead();
      }));
}

std::vector<directory::EvacuationChange> DirectoryService::ReplaceEvacuations(
    directory::EvacuationView view) {
  if (view.position.era > evacuations_.view().position.era) {
    forget_lost_evacuations_ = clock_.Now() + options_.lost_evacuation_time;
  }
  return evacuations_.Replace(std::move(view));
}

void DirectoryService::OnEvacuationsChanged(std::span<const directory::EvacuationChange> changes,
                                            std::string_view source) {
  for (const directory::EvacuationChange& change : changes) {
    Log(Level::kInfo, "evacuation_changed",
        {{"data_centre", change.data_centre.value()},
         {"evacuated", change.evacuated},
         {"revision", change.position.revision},
         {"era", change.position.era},
         {"source", source}});
    const std::vector<directory::Endpoint> endpoints = table_.endpoints();
    const bool has_endpoints =
        std::any_of(endpoints.begin(), endpoints.end(), [&](const directory::Endpoint& endpoint) {
          return endpoint.data_centre == change.data_centre;
        });
    if (change.evacuated && table_.loaded() && !has_endpoints) {
      Log(Level::kWarning, "evacuation_without_endpoints",
          {{"data_centre", change.data_centre.value()}});
    }
  }
  if (!changes.empty() && evacuations_.dropped() > 0) {
    Log(Level::kWarning, "evacuations_dropped",
        {{"kept", evacuations_.view().data_centres.size()}, {"dropped", evacuations_.dropped()}});
  }
  const bool known_first = evacuations_.known() && !published_evacuations_;
  if (!changes.empty() || known_first) Publish();
}

void DirectoryService::OnEvacuationGossip(const wire::DirectoryGossip& gossip) {
  const directory::StorePosition position{.era = gossip.evacuation_era,
                                          .revision = gossip.evacuation_revision};
  if (!options_.evacuation) return;
  if (gossip.is_scheduler && position.era < evacuations_.view().position.era) {
    heard_earlier_scheduler_ = clock_.Now();
  }
  if (position <= evacuations_.view().position) return;
  const std::vector<directory::EvacuationChange> changes =
      ReplaceEvacuations({.position = position, .data_centres = gossip.evacuated});
  // Polls go on from the revision of the view, so no read of all is needed.
  evacuations_read_needed_ = false;
  OnEvacuationsChanged(changes, "peer");
  if (!changes.empty()) RelayChange();
}

void DirectoryService::OnConfigurationRead(Result<directory::StoredConfiguration> stored) {
  if (stored.has_error()) {
    OnConfigurationFailed(stored.error());
    return;
  }
  // Polls go on from here. The evacuations are read later or were known before; what changed in
  // between is polled again, or its history is gone and leads to another full read.
  position_ = stored.value().position;
  if (evacuations_.known()) {
    const directory::StorePosition& known = evacuations_.view().position;
    if (known.era == position_.era) {
      position_ = std::min(position_, known);
    } else {
      evacuations_read_needed_ = true;
    }
  }
  OnNewConfiguration(std::move(stored).value());
  if (options_.evacuation && evacuations_read_needed_) {
    ReadEvacuations();
  } else {
    OnFullRead();
  }
}

void DirectoryService::OnFullRead() {
  full_read_needed_ = false;
  evacuations_read_needed_ = false;
  SetStoreWorks(true, {});
  RecordRead(configuration_schedule_, "configuration");
  SendGossip(/*news=*/true);
}

void DirectoryService::OnConfigurationPolled(Result<directory::ConfigurationNews> news) {
  if (news.has_error()) {
    const std::error_code error = news.error();
    if (error == Errc::kConflict || error == Errc::kTooLarge || error == Errc::kMalformed) {
      // The same poll would fail again.
      Log(Level::kInfo, "store_history_lost",
          {{"revision", position_.revision}, {"era", position_.era}, {"error", error.message()}});
      full_read_needed_ = true;
      evacuations_read_needed_ = true;
      ReadConfiguration();
    } else {
      OnConfigurationFailed(error);
    }
    return;
  }
  SetStoreWorks(true, {});
  position_ = std::max(position_, news.value().position);
  OnEvacuationsChanged(evacuations_.Apply(news.value().evacuations, news.value().position),
                       "store");
  if (!news.value().complete) {
    if (news.value().newest) OnNewConfiguration(std::move(*news.value().newest));
    Log(Level::kInfo, "store_history_partial", {{"revision", position_.revision}});
    full_read_needed_ = true;
    evacuations_read_needed_ = true;
    ReadConfiguration();
    return;
  }
  RecordRead(configuration_schedule_, "configuration");
  if (news.value().newest) OnNewConfiguration(std::move(*news.value().newest));
  SendGossip(/*news=*/true);
}

void DirectoryService::OnNewConfiguration(directory::StoredConfiguration stored) {
  if (Adopt(std::move(stored.configuration), "store")) {
    compressed_document_ = Compress(stored.document);
  }
}

bool DirectoryService::Adopt(std::shared_ptr<const directory::Configuration> configuration,
                             std::string_view source) {
  const std::uint64_t known = version();
  if (configuration->version() < known) {
    Log(Level::kWarning, "configuration_older",
        {{"version", configuration->version()}, {"known", known}, {"source", source}});
    return false;
  }
  if (configuration->version() == known) return false;
  configuration_ = std::move(configuration);
  Log(Level::kInfo, "configuration_in_force",
      {{"version", version()},
       {"before", known},
       {"source", source},
       {"revision", position_.revision},
       {"routes", configuration_->route_count()}});
  Publish();
  return true;
}

void DirectoryService::OnConfigurationFailed(std::error_code error) {
  configuration_schedule_.OnReadFailed(clock_.Now());
  if (error == Errc::kMalformed) {
    Log(Level::kError, "configuration_malformed", {{"known", version()}});
    SetStoreWorks(true, {});  // it serves this host, so the endpoints can be read
  } else {
    SetStoreWorks(false, error);
  }
  Fetch();
}

}  // namespace verbenaridge::ingress
