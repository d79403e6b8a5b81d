/** Loading and validation of settings files. */
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
 * Loads settings of the message type of [prototype] and validates them with [rules].
 *
 * Returns either settings that are valid as a whole or all the errors found in them.
 */
public class SettingsLoader<M : Message>(
    private val prototype: M,
    private val rules: SettingsRules.(M) -> Unit,
) {
    /** Loads and validates the settings in [file]. */
    public fun load(file: Path): Either<NonEmptyList<JsonProblem>, M> = text(file).flatMap(::parse)

    /** Parses and validates the settings in [text]. */
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
        nonEmptyListOf(JsonProblem("", "failed to read $file: ${e.message}")).left()
    }
}
