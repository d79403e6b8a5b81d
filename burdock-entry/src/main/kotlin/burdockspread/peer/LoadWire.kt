/** Conversions between loads and gossip entries. */
package burdockspread.peer

import burdockspread.health.DomainSummary
import burdockspread.health.ModelSummary
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.load.TargetLoad
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.wire.spread.DomainLoadInfo
import burdockspread.wire.spread.LoadInfo
import burdockspread.wire.spread.domainLoadInfo
import burdockspread.wire.spread.loadInfo
import burdockspread.wire.spread.modelLoad
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

internal fun TargetLoad.toEntry(target: TargetId): Entry {
    val load = this
    val info =
        loadInfo {
            running = load.running
            waiting = load.waiting
        }
    val key = EntryKey(EntryKind.LOAD, target.value)
    return Entry(key, load.at.toEpochMilliseconds(), EntryBytes.of(info.toByteArray()))
}

internal fun Entry.toTargetLoad(): TargetLoad {
    val info = LoadInfo.parseFrom(value.toByteArray())
    return TargetLoad(info.running, info.waiting, Instant.fromEpochMilliseconds(version))
}

internal fun DomainSummary.toEntry(): Entry {
    val summary = this
    val info =
        domainLoadInfo {
            models +=
                summary.models.map {
                    modelLoad {
                        model = it.model.value
                        targets = it.targets
                        floorTargets = it.floorTargets
                        slots = it.slots
                        used = it.used
                    }
                }
        }
    val key = EntryKey(EntryKind.DOMAIN_LOAD, domain.value)
    return Entry(key, at.toEpochMilliseconds(), EntryBytes.of(info.toByteArray()))
}

internal fun Entry.toDomainSummary(): DomainSummary {
    val models =
        DomainLoadInfo.parseFrom(value.toByteArray()).modelsList.map {
            ModelSummary(ModelId(it.model), it.targets, it.floorTargets, it.slots, it.used)
        }
    return DomainSummary(
        FailureDomainId(key.name),
        Instant.fromEpochMilliseconds(version),
        models.toImmutableList(),
    )
}
