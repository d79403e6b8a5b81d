/** Edits a fleet's document as its owning teams, through burdockctl. */
package burdockspread.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.nio.file.Files
import java.nio.file.Path

/** Runner of burdockctl for [fleet], with settings and section files in [directory]. */
public class TeamDocumentEditor(private val fleet: Fleet, private val directory: Path) {
    /** Creates all sections with one edit for each team. */
    public fun createAllSections() {
        val sections = fleet.document.sections()
        sections.map { it.owner }.distinct().forEach { team ->
            val output = apply(team, sections.filter { it.owner == team })
            check(output.status == 0) { "$team: ${output.text}" }
        }
    }

    /** Replaces the current version of [section]. */
    public fun edit(section: SectionText): ProgramOutput {
        val current = run(section.owner, "get", section.name).text
        val version = Json.parseToJsonElement(current).jsonObject.getValue("version")
        val fields = Json.parseToJsonElement(section.json).jsonObject + ("version" to version)
        return apply(section.owner, listOf(section.copy(json = JsonObject(fields).toString())))
    }

    /** Applies [sections] unchanged as [team]. */
    public fun apply(team: String, sections: List<SectionText>): ProgramOutput {
        val files = sections.map { section ->
            val file = directory.resolve("${section.name}.json")
            Files.writeString(file, section.json).toString()
        }
        return run(team, "apply", *files.toTypedArray())
    }

    /** Runs one burdockctl command as [team]. */
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
