/** Edits a fleet's document in the name of its teams, by burdockctl. */
package burdockspread.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.nio.file.Files
import java.nio.file.Path

/** Runs burdockctl for [fleet] with files in [directory]. */
public class DocumentTeams(private val fleet: Fleet, private val directory: Path) {
    /** Creates all sections, team by team. */
    public fun createAll() {
        val sections = fleet.document.sections()
        sections.map { it.owner }.distinct().forEach { team ->
            val output = apply(team, sections.filter { it.owner == team })
            check(output.status == 0) { "$team: ${output.text}" }
        }
    }

    /** Replaces [section], starting from its present version. */
    public fun edit(section: SectionText): ProgramOutput {
        val present = run(section.owner, "get", section.name).text
        val version = Json.parseToJsonElement(present).jsonObject.getValue("version")
        val fields = Json.parseToJsonElement(section.json).jsonObject + ("version" to version)
        return apply(section.owner, listOf(section.copy(json = JsonObject(fields).toString())))
    }

    /** Applies [sections] as they are in the name of [team]. */
    public fun apply(team: String, sections: List<SectionText>): ProgramOutput {
        val files = sections.map { section ->
            val file = directory.resolve("${section.name}.json")
            Files.writeString(file, section.json).toString()
        }
        return run(team, "apply", *files.toTypedArray())
    }

    /** Runs one command in the name of [team]. */
    public fun run(team: String, vararg command: String): ProgramOutput {
        val file = Files.writeString(directory.resolve("ctl-$team.json"), settings(team))
        return fleet.run("burdockctl", "--config", "$file", *command)
    }

    private fun settings(team: String): String {
        val hosts = fleet.layout.entries.joinToString { JsonPrimitive(it.operator).toString() }
        return """
            {"store": {"address": "${fleet.layout.store}", "namespace": "demo",
                       "callTimeout": "2s"},
             "team": "$team", "hosts": [$hosts]}
        """.trimIndent()
    }
}
