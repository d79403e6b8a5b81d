/** Converts section bodies from their wire messages to typed values, with validation. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ModelId
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.recovery.RecoveryMode
import burdockspread.recovery.RecoveryPolicy
import burdockspread.wire.document.FailureDomainSection
import burdockspread.wire.document.Limits
import burdockspread.wire.document.ModelsSection
import burdockspread.wire.document.OrganisationsSection
import burdockspread.wire.document.PrioritiesSection
import burdockspread.wire.document.RootSection
import burdockspread.wire.document.ServicesSection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import burdockspread.wire.document.RecoveryPolicy as WireRecovery
import burdockspread.wire.document.Service as WireService
import burdockspread.wire.document.Target as WireTarget

private const val MAX_TOKENS_LIMIT = 10_000_000
private const val MAX_ATTEMPTS_LIMIT = 20
private const val MAX_BATCH_SLOTS = 100_000
private const val MIN_STALL_MULTIPLE = 1.0
private const val MAX_STALL_MULTIPLE = 1_000.0
private val API_KEY_HASH = Regex("[0-9a-f]{64}")
private val DEADLINE_RANGE = 1.milliseconds..1.hours
private val STALL_RANGE = 1.milliseconds..10.minutes
private val TIMEOUT_RANGE = 1.milliseconds..10.minutes

internal fun readOwners(wire: RootSection, problems: ProblemList): ImmutableList<SectionOwner> {
    val owners = wire.sectionsList.map { SectionOwner(it.name, it.owner) }
    problems.requireUnique(owners.map { it.section }, "root.sections")
    owners.forEach {
        problems.requireName(it.section, "root.sections[${it.section}].name")
        problems.requireName(it.owner, "root.sections[${it.section}].owner")
    }
    return owners.toImmutableList()
}

internal fun readModels(wire: ModelsSection, problems: ProblemList): ImmutableList<Model> {
    problems.requireUnique(wire.modelsList.map { it.name }, "models.models")
    return wire.modelsList.map { model ->
        val path = "models.models[${model.name}]"
        problems.requireName(model.name, "$path.name")
        problems.requireThat(model.version.isNotEmpty(), "$path.version") { "must not be empty" }
        problems.requireUnique(model.adaptersList, "$path.adapters")
        problems.requireInRange(model.maxTokens, 1..MAX_TOKENS_LIMIT, "$path.maxTokens")
        problems.requireThat(model.floorTargets >= 0, "$path.floorTargets") {
            "must not be negative"
        }
        val adapters = model.adaptersList.toImmutableList()
        Model(ModelId(model.name), model.version, adapters, model.maxTokens, model.floorTargets)
    }.toImmutableList()
}

internal fun readOrganisations(
    wire: OrganisationsSection,
    problems: ProblemList,
): ImmutableList<Organisation> {
    problems.requireUnique(wire.organisationsList.map { it.name }, "organisations.organisations")
    return wire.organisationsList.map { organisation ->
        val path = "organisations.organisations[${organisation.name}]"
        problems.requireName(organisation.name, "$path.name")
        organisation.apiKeySha256List.forEachIndexed { i, hash ->
            problems.requireThat(API_KEY_HASH.matches(hash), "$path.apiKeySha256[$i]") {
                "is not a SHA-256 hash in lower-case hexadecimal"
            }
        }
        Organisation(
            OrganisationId(organisation.name),
            organisation.apiKeySha256List.toImmutableList(),
            PriorityName(organisation.defaultPriority),
            readLimits(organisation.limits, "$path.limits", problems),
        )
    }.toImmutableList()
}

private fun readLimits(wire: Limits, path: String, problems: ProblemList): OrganisationLimits {
    problems.requireLimit(wire.requestsPerSecond, "$path.requestsPerSecond")
    problems.requireLimit(wire.tokensPerSecond, "$path.tokensPerSecond")
    problems.requireLimit(wire.concurrent.toDouble(), "$path.concurrent")
    problems.requireThat(wire.cutOffFloor in 0.0..1.0, "$path.cutOffFloor") {
        "${wire.cutOffFloor} is outside 0 to 1"
    }
    return OrganisationLimits(
        wire.requestsPerSecond.takeIf { it > 0 },
        wire.tokensPerSecond.takeIf { it > 0 },
        wire.concurrent.takeIf { it > 0 },
        wire.cutOffFloor,
    )
}

internal fun readPriorities(
    wire: PrioritiesSection,
    problems: ProblemList,
): ImmutableList<Priority> {
    problems.requireUnique(wire.prioritiesList.map { it.name }, "priorities.priorities")
    return wire.prioritiesList.map { priority ->
        val path = "priorities.priorities[${priority.name}]"
        problems.requireName(priority.name, "$path.name")
        problems.requireThat(priority.level >= 0, "$path.level") { "must not be negative" }
        val deadline = "$path.firstTokenDeadline"
        Priority(
            PriorityName(priority.name),
            priority.level,
            problems.readDuration(priority.firstTokenDeadline, DEADLINE_RANGE, deadline),
            readRecovery(priority.recovery, "$path.recovery", problems),
        )
    }.toImmutableList()
}

private fun readRecovery(wire: WireRecovery, path: String, problems: ProblemList): RecoveryPolicy {
    val mode = when (wire.mode) {
        WireRecovery.Mode.RESUME_EARLY -> RecoveryMode.RESUME_EARLY
        WireRecovery.Mode.SIDE_BY_SIDE -> RecoveryMode.SIDE_BY_SIDE
        WireRecovery.Mode.SAVE_RESOURCES -> RecoveryMode.SAVE_RESOURCES
        else -> {
            problems.add("$path.mode", "is missing or unknown")
            RecoveryMode.RESUME_EARLY
        }
    }
    val multiples = MIN_STALL_MULTIPLE..MAX_STALL_MULTIPLE
    problems.requireThat(wire.stallMultiple in multiples, "$path.stallMultiple") {
        "${wire.stallMultiple} is outside $MIN_STALL_MULTIPLE to $MAX_STALL_MULTIPLE"
    }
    problems.requireInRange(wire.maxAttempts, 1..MAX_ATTEMPTS_LIMIT, "$path.maxAttempts")
    val min = problems.readDuration(wire.minStall, STALL_RANGE, "$path.minStall")
    val max = problems.readDuration(wire.maxStall, STALL_RANGE, "$path.maxStall")
    problems.requireThat(min <= max, "$path.maxStall") { "$max is below minStall $min" }
    return RecoveryPolicy(mode, wire.stallMultiple, min, max, wire.maxAttempts)
}

internal fun readServices(wire: ServicesSection, problems: ProblemList): ImmutableList<Service> {
    problems.requireUnique(wire.servicesList.map { it.name }, "services.services")
    return wire.servicesList.map { readService(it, problems) }.toImmutableList()
}

private fun readService(wire: WireService, problems: ProblemList): Service {
    val path = "services.services[${wire.name}]"
    problems.requireName(wire.name, "$path.name")
    problems.requireUnique(wire.callsList.map { it.name }, "$path.calls")
    problems.requireThat(wire.callsCount > 0, "$path.calls") { "must contain at least one call" }
    val calls = wire.callsList.associate { call ->
        val callPath = "$path.calls[${call.name}]"
        problems.requireName(call.name, "$callPath.name")
        val timeout = problems.readDuration(call.timeout, TIMEOUT_RANGE, "$callPath.timeout")
        call.name to ServiceCall(call.name, call.idempotent, timeout)
    }
    return Service(ServiceId(wire.name), calls.toImmutableMap())
}

internal fun readFailureDomain(wire: FailureDomainSection, problems: ProblemList): FailureDomain {
    val id = FailureDomainId(wire.name)
    problems.requireName(wire.name, "failureDomain.name")
    problems.requireName(wire.region, "failureDomain.region")
    problems.requireUnique(wire.hostsList.map { it.name }, "failureDomain.hosts")
    problems.requireUnique(wire.targetsList.map { it.name }, "failureDomain.targets")
    val hosts = wire.hostsList.map { host ->
        val path = "failureDomain.hosts[${host.name}]"
        problems.requireName(host.name, "$path.name")
        problems.requireAddress(host.peerAddress, "$path.peerAddress")
        EntryHost(HostId(host.name), host.peerAddress, id, wire.region)
    }
    val targets = wire.targetsList.map { readTarget(it, id, problems) }
    return FailureDomain(id, wire.region, hosts.toImmutableList(), targets.toImmutableList())
}

private fun readTarget(wire: WireTarget, domain: FailureDomainId, problems: ProblemList): Target {
    val path = "failureDomain.targets[${wire.name}]"
    problems.requireName(wire.name, "$path.name")
    problems.requireAddress(wire.address, "$path.address")
    problems.requireUnique(wire.modelsList, "$path.models")
    problems.requireThat(wire.modelsCount > 0 != wire.service.isNotEmpty(), path) {
        "must have either models or a service"
    }
    val slots = if (wire.modelsCount > 0) 1..MAX_BATCH_SLOTS else 0..0
    problems.requireInRange(wire.batchSlots, slots, "$path.batchSlots")
    return Target(
        TargetId(wire.name),
        domain,
        wire.address,
        wire.modelsList.map { ModelId(it) }.toImmutableList(),
        wire.service.takeIf { it.isNotEmpty() }?.let { ServiceId(it) },
        wire.checksFencing,
        wire.leaving,
        wire.batchSlots,
    )
}

private fun ProblemList.requireUnique(names: List<String>, path: String) {
    val seen = HashSet<String>()
    names.filterNot { seen.add(it) }
        .distinct()
        .forEach { add("$path[$it]", "is defined more than once") }
}

private fun ProblemList.requireInRange(value: Int, range: IntRange, path: String) {
    requireThat(value in range, path) { "$value is outside ${range.first} to ${range.last}" }
}

private fun ProblemList.requireLimit(value: Double, path: String) {
    requireThat(value >= 0 && value.isFinite(), path) { "$value is not a limit; 0 means unlimited" }
}
