/** Reads the JSON of one section and checks everything that needs no other section. */
package burdockspread.document

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import burdockspread.json.ProtoJson
import burdockspread.wire.document.Section
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.util.JsonFormat

/** Reads sections. */
public object SectionReader {
    private val fastParser = JsonFormat.parser()

    /** Reads and checks the text of a section that an operator wrote. */
    public fun read(
        section: String,
        json: String,
    ): Either<NonEmptyList<DocumentProblem>, SectionBody> =
        parse(section, json).fold({ it.left() }, { read(it) })

    /** Checks a section and turns it into typed values. */
    public fun read(section: Section): Either<NonEmptyList<DocumentProblem>, SectionBody> {
        val problems = ProblemList(section.name)
        val body = body(section, problems)
        return problems.toNonEmptyList()?.left() ?: body.right()
    }

    /** Reads the text of a section against its schema, without further checks. */
    public fun parse(
        section: String,
        json: String,
    ): Either<NonEmptyList<DocumentProblem>, Section> =
        ProtoJson.read(json, Section.getDefaultInstance()).mapLeft { problems ->
            problems.map { DocumentProblem(section, it.path, it.message) }
        }

    /** Reads canonical text, which passed [parse] when it was accepted. */
    internal fun parseCanonical(section: String, json: String) = try {
        val builder = Section.newBuilder()
        fastParser.merge(json, builder)
        builder.build().right()
    } catch (e: InvalidProtocolBufferException) {
        nonEmptyListOf(DocumentProblem(section, "", e.message.orEmpty())).left()
    }

    private fun body(section: Section, problems: ProblemList): SectionBody {
        problems.name(section.name, "name")
        problems.require(!section.name.contains('.'), "name") { "must not contain a dot" }
        problems.name(section.owner, "owner")
        problems.require(section.version >= 0, "version") { "must not be negative" }
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
                problems.add("", "names none of ${Section.getDescriptor().bodyNames()}")
                base
            }
        }
    }
}

private fun Descriptor.bodyNames(): String = oneofs.single().fields.joinToString { it.jsonName }
