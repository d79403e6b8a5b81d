/** Reads a settings file as a whole. */
package burdockspread.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import burdockspread.json.JsonProblem
import burdockspread.json.ProtoJson
import com.google.protobuf.Message
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/**
 * Reads settings of the message type of [prototype] and checks them by [rules].
 *
 * Either all of a file is valid or all of its problems are returned.
 */
public class SettingsLoader<M : Message>(
    private val prototype: M,
    private val rules: SettingsRules.(M) -> Unit,
) {
    /** Reads [file]. */
    public fun load(file: Path): Either<NonEmptyList<JsonProblem>, M> = text(file).flatMap(::parse)

    /** Reads [text]. */
    public fun parse(text: String): Either<NonEmptyList<JsonProblem>, M> =
        ProtoJson.read(text, prototype).flatMap { check(it) }

    private fun check(settings: M): Either<NonEmptyList<JsonProblem>, M> {
        val found = SettingsRules().apply { rules(settings) }.problems()
        return found.toNonEmptyListOrNull()?.left() ?: settings.right()
    }

    private fun text(file: Path): Either<NonEmptyList<JsonProblem>, String> = try {
        Files.readString(file).right()
    } catch (e: NoSuchFileException) {
        nonEmptyListOf(JsonProblem("", "$file does not exist")).left()
    } catch (e: IOException) {
        nonEmptyListOf(JsonProblem("", "$file cannot be read: ${e.message}")).left()
    }
}
