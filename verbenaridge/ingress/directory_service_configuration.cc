// The part of DirectoryService that reads the configuration from the store.
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
    store_.ReadConfiguration([this](Result<directory::StoredConfiguration> stored) {
      OnConfigurationRead(std::move(stored));
    });
  } else {
    store_.PollConfiguration(revision_, [this](Result<directory::ConfigurationNews> news) {
      OnConfigurationPolled(std::move(news));
    });
  }
}

void DirectoryService::OnConfigurationRead(Result<directory::StoredConfiguration> stored) {
  if (stored.has_error()) {
    OnConfigurationFailed(stored.error());
    return;
  }
  full_read_needed_ = false;
  SetStoreWorks(true, {});
  RecordRead(configuration_schedule_, "configuration");
  OnNewConfiguration(std::move(stored).value());
  SendGossip(/*news=*/true);
}

void DirectoryService::OnConfigurationPolled(Result<directory::ConfigurationNews> news) {
  if (news.has_error()) {
    const std::error_code error = news.error();
    if (error == Errc::kConflict || error == Errc::kTooLarge || error == Errc::kMalformed) {
      // The same poll would fail again.
      Log(Level::kInfo, "store_history_lost",
          {{"revision", revision_}, {"error", error.message()}});
      full_read_needed_ = true;
      ReadConfiguration();
    } else {
      OnConfigurationFailed(error);
    }
    return;
  }
  SetStoreWorks(true, {});
  revision_ = std::max(revision_, news.value().revision);
  if (!news.value().complete) {
    if (news.value().newest) OnNewConfiguration(std::move(*news.value().newest));
    Log(Level::kInfo, "store_history_partial", {{"revision", revision_}});
    full_read_needed_ = true;
    ReadConfiguration();
    return;
  }
  RecordRead(configuration_schedule_, "configuration");
  if (news.value().newest) OnNewConfiguration(std::move(*news.value().newest));
  SendGossip(/*news=*/true);
}

void DirectoryService::OnNewConfiguration(directory::StoredConfiguration stored) {
  revision_ = std::max(revision_, stored.revision);
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
       {"revision", revision_},
       {"routes", configuration_->route_count()}});
  Publish();
  return true;
}

void DirectoryService::OnConfigurationFailed(std::error_code error) {
  configuration_schedule_.OnReadFailed(clock_.Now());
  if (error == Errc::kMalformed) {
    Log(Level::kError, "configuration_malformed", {{"known", version()}});
  } else {
    SetStoreWorks(false, error);
  }
  Fetch();
}

}  // namespace verbenaridge::ingress
