/** Parsing of sections, with the validation that does not depend on other sections. */
package burdockspread.document

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import burdockspread.json.ProtoJson
import burdockspread.json.mergeBounded
import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.util.JsonFormat

/** Parses and validates single sections. */
public object SectionReader {
    private val fastParser = JsonFormat.parser()

    /** Parses and validates the JSON of a section written by an operator. */
    public fun read(
        section: String,
        json: String,
    ): Either<NonEmptyList<DocumentProblem>, SectionBody> =
        parse(section, json).fold({ it.left() }, { read(it) })

    /** Validates a section and converts it to typed values. */
    public fun read(section: Section): Either<NonEmptyList<DocumentProblem>, SectionBody> {
        val problems = ProblemList(section.name)
        val body = body(section, problems)
        return problems.toNonEmptyList()?.left() ?: body.right()
    }

    /** Parses the JSON of a section against its schema, without further validation. */
    public fun parse(
        section: String,
        json: String,
    ): Either<NonEmptyList<DocumentProblem>, Section> =
        ProtoJson.read(json, Section.getDefaultInstance()).mapLeft { problems ->
            problems.map { DocumentProblem(section, it.path, it.message) }
        }

    /** Parses canonical JSON, which passed [parse] when its edit was accepted. */
    internal fun parseCanonical(section: String, json: String) = try {
        val builder = Section.newBuilder()
        fastParser.mergeBounded(json, builder)
        builder.build().right()
    } catch (e: InvalidProtocolBufferException) {
        nonEmptyListOf(DocumentProblem(section, "", e.message.orEmpty())).left()
    }

    private fun body(section: Section, problems: ProblemList): SectionBody {
        problems.requireName(section.name, "name")
        problems.requireThat(!section.name.contains('.'), "name") { "must not contain a dot" }
        problems.requireName(section.owner, "owner")
        problems.requireThat(section.version >= 0, "version") { "must not be negative" }
        val base = SectionBody(section.name, section.owner, section.version)
        return when (section.bodyCase) {
            Section.BodyCase.ROOT -> base.copy(owners = readOwners(section.root, problems))
            Section.BodyCase.MODELS -> base.copy(models = readModels(section.models, problems))
            Section.BodyCase.ORGANISATIONS ->
                base.copy(organisations = readOrganisations(section.organisations, problems))
            Section.BodyCase.PRIORITIES ->
                base.copy(priorities = readPriorities(section.priorities, problems))
            Section.BodyCase.SERVICES ->
                base.copy(services = readServices(section.services, problems))
            Section.BodyCase.FAILURE_DOMAIN ->
                base.copy(failureDomain = readFailureDomain(section.failureDomain, problems))
            Section.BodyCase.BODY_NOT_SET, null -> {
                problems.add("", "must set one of ${Section.getDescriptor().bodyNames()}")
                base
            }
        }
    }
}

private fun Descriptor.bodyNames(): String = oneofs.single().fields.joinToString { it.jsonName }
